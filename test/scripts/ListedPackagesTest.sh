#!/usr/bin/env bash
# On a machine that holds only the packages of deploy/system.toml, the build stopped at a package that just
# the tests need. Machines that hold more don't show that, so the list is judged by what the build opens.
set -uo pipefail
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir "$work/build"
scripts/build-inputs "$work/build" || exit 1
failed=0
mapfile -t listed < <(scripts/listed-packages)

# expect CASE STATUS TEXT INPUTS PACKAGE...: the judgement ends with STATUS and prints TEXT.
expect() {
  local name=$1 status=$2 text=$3 inputs=$4 said
  shift 4
  said=$(scripts/check-packages "$inputs" "$@")
  if [ $? -eq "$status" ] && grep -qF -- "$text" <<<"$said"; then
    echo "ok      $name"
  else
    echo "FAILED  $name, expected status $status and: $text"
    echo "$said"
    failed=1
  fi
}

# made NAME USE PACKAGE PATH: the inputs of the build and one more file.
made() {
  { cat "$work/build/inputs"; printf '%s\t%s\t%s\n' "$2" "$3" "$4"; } >"$work/$1"
  echo "$work/$1"
}

without() { printf '%s\n' "${listed[@]}" | grep -vxF "$1"; }

expect "the list is complete" 0 "packages: complete" "$work/build/inputs"
for package in "${listed[@]}"; do
  # A package without files of its own is missed by the name of one that it brings.
  case $package in
    pkg-config) missed=pkgconf ;;
    libboost-dev) missed=libboost ;;
    *) missed=$package ;;
  esac
  expect "without $package" 1 "packages: $missed" "$work/build/inputs" $(without "$package")
done
expect "a package that nothing uses" 1 "packages: ccache is listed and not used" \
  "$work/build/inputs" "${listed[@]}" ccache
expect "a package of the tests" 1 "packages: libcppunit-dev is not listed" \
  "$(made tests find_package libcppunit-dev /usr/lib/x86_64-linux-gnu/pkgconfig/cppunit.pc)"
expect "a file of no package" 1 "/usr/local/include/own.h belongs to no package" \
  "$(made unowned header - /usr/local/include/own.h)"
expect "a dependency that the project's files name" 1 "packages: zlib1g-dev is named by the project's files" \
  "$(made named include zlib1g-dev /usr/include/zlib.h)"
expect "a dependency that a library's header names" 0 "packages: complete" \
  "$(made brought header zlib1g-dev /usr/include/zlib.h)"
exit "$failed"

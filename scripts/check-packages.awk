# Judges `use, package, path` lines; see check-packages. Variables: listed (names, separated by blanks),
# installed (a file of `package, essential, dependencies`), empty (a file of listed packages without content).

function readDependencies(line, count, field, part, name, i) {
  while ((getline line < installed) > 0) {
    split(line, field, "\t")
    if (field[2] == "yes") base[field[1]] = 1
    count = split(field[3], part, /, */)
    known[field[1]] = 1
    for (i = 1; i <= count; i++) {
      # Of alternatives a clean machine gets the first.
      name = part[i]
      sub(/^ */, "", name)
      sub(/[ :(|].*/, "", name)
      if (name != "") dependencies[field[1]] = dependencies[field[1]] " " name
    }
  }
}

# Adds a package and all its hard dependencies to a set.
function addClosure(package, set, count, name, i) {
  if (package in set || !(package in known)) return
  set[package] = 1
  count = split(dependencies[package], name, " ")
  for (i = 1; i <= count; i++) addClosure(name[i], set)
}

function readListed(count, name, part, line, i) {
  count = split(listed, name, " ")
  for (i = 1; i <= count; i++) {
    named[name[i]] = name[i]
    addClosure(name[i], brought)
  }
  for (line in base) addClosure(line, brought)
  # A package without content stands for what it depends on.
  while ((getline line < empty) > 0) {
    count = split(dependencies[line], part, " ")
    for (i = 1; i <= count; i++)
      if (!(part[i] in named)) named[part[i]] = line
  }
}

function fault(package, use, path, why) {
  faults[package "\t" why] = use " " path
}

BEGIN {
  readDependencies()
  readListed()
}

$1 == "compiler" { addClosure($2, compiler) }

{ lines[NR] = $0 }

function judge(use, package, path) {
  if (package in named) {
    used[named[package]] = 1
    return
  }
  if (package == "-") fault(path, use, path, "belongs to no package")
  else if (!(package in brought)) fault(package, use, path, "is not listed")
  else if (use ~ /^(tool|compiler|include|find_package)$/ && !(package in compiler) && !(package in base))
    fault(package, use, path, "is named by the project's files and only rides along")
}

END {
  for (i = 1; i <= NR; i++) {
    split(lines[i], field, "\t")
    judge(field[1], field[2], field[3])
  }
  for (package in named)
    if (named[package] == package && !(package in used)) fault(package, "deploy/system.toml", "", "is listed and not used")
  for (key in faults) {
    split(key, field, "\t")
    print "packages: " field[1] " " field[2] " (" faults[key] ")" | "sort"
    failed = 1
  }
  close("sort")
  if (!failed) print "packages: complete"
  exit failed
}

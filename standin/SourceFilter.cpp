// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "standin/SourceFilter.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <sys/socket.h>

#include <cerrno>
#include <stdexcept>
#include <vector>

namespace Standin {
namespace {

/// Offset of the source address in an IPv4 header.
constexpr std::uint32_t kSourceOffset = 12;
constexpr std::uint32_t kDrop = 0;
constexpr std::uint32_t kAccept = 0xFFFFFFFFU;

}  // namespace

void dropPacketsFrom(int socket, const std::set<std::string>& addresses) {
  if (addresses.empty()) {
    const int unused = 0;
    const int status = ::setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
    if (status != 0 && errno != ENOENT) throw std::runtime_error("can't remove a socket filter");
    return;
  }
  const auto networkHeader = static_cast<std::uint32_t>(SKF_NET_OFF);
  std::vector<sock_filter> program{
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS, networkHeader + kSourceOffset)};
  for (const std::string& address : addresses) {
    const std::uint32_t source = ntohl(::inet_addr(address.c_str()));
    program.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, source, 0, 1));
    program.push_back(BPF_STMT(BPF_RET | BPF_K, kDrop));
  }
  program.push_back(BPF_STMT(BPF_RET | BPF_K, kAccept));
  const sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
  if (::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter) != 0) {
    throw std::runtime_error("can't attach a socket filter");
  }
}

}  // namespace Standin

"""HTTP/1.1 over plain sockets, as callers and replicas speak it."""

import socket
import struct


def address_of(text):
    host, port = text.rsplit(":", 1)
    return host, int(port)


def connect(address, timeout):
    sock = socket.create_connection(address_of(address), timeout)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def listen(ip="127.0.0.1", port=0):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((ip, port))
    sock.listen(1024)
    return sock


def free_address(ip="127.0.0.1"):
    sock = socket.socket()
    sock.bind((ip, 0))
    port = sock.getsockname()[1]
    sock.close()
    return "%s:%d" % (ip, port)


def reset(sock):
    """Closes with a reset instead of an orderly end."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def read_head(reader):
    """Returns the first line and the fields; nothing if the peer closed before a whole head."""
    line = reader.readline()
    if not line.endswith(b"\n"):
        return None
    fields = {}
    while True:
        raw = reader.readline()
        if not raw.endswith(b"\n"):
            return None
        text = raw.decode("latin-1").strip()
        if not text:
            return line.decode("latin-1").strip(), fields
        name, value = text.split(":", 1)
        fields[name.strip().lower()] = value.strip()


def read_chunked(reader):
    body = b""
    while True:
        size = int(reader.readline().split(b";")[0] or b"0", 16)
        data = reader.read(size)
        end = reader.readline()
        if len(data) < size or not end:
            raise OSError("cut inside a chunked body")
        if size == 0:
            return body
        body += data


def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        return read_chunked(reader)
    length = int(fields.get("content-length", "0"))
    body = reader.read(length) if length else b""
    if len(body) < length:
        raise OSError("cut inside a body")
    return body


def read_answer(reader):
    head = read_head(reader)
    if head is None:
        raise OSError("closed without an answer")
    line, fields = head
    return int(line.split()[1]), fields, read_body(reader, fields)


def head_bytes(first, fields):
    lines = [first] + ["%s: %s" % item for item in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def exchange(address, method, target, fields, body=b"", timeout=5.0):
    """One request on a channel of its own."""
    fields = dict(fields)
    if body or method != "GET":
        fields["Content-Length"] = str(len(body))
    sock = connect(address, timeout)
    try:
        sock.settimeout(timeout)
        sock.sendall(head_bytes("%s %s HTTP/1.1" % (method, target), fields) + body)
        return read_answer(sock.makefile("rb"))
    finally:
        sock.close()

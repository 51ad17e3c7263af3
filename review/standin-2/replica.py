"""A sound replica (PROTOCOL.md): rejects what it has no room for, signs what it ran, repeats the id of each request."""

import threading
import time

import wire

SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"


class Replica:
    """Answers each request after `work_s` seconds with `events` events, or with a plain body if that is 0.

    With `memory_tokens` it rejects a request whose prompt and output are larger, as if it were full.
    """

    def __init__(self, name, service, zone, slots, work_s, memory_tokens=None, events=0, event_gap_s=0.01):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.memory_tokens = memory_tokens
        self.events = events
        self.event_gap_s = event_gap_s
        self.lock = threading.Lock()
        self.runs = []
        self.rejected = []
        self.listener = wire.listen()
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 1,
        }

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        reader = sock.makefile("rb", buffering=1 << 20)
        try:
            while True:
                head = wire.read_head(reader)
                if head is None:
                    return
                line, fields = head
                body = wire.read_body(reader, fields)
                self.handle(sock, line.split(), fields, body)
        except OSError:
            pass
        finally:
            sock.close()

    def handle(self, sock, line, fields, body):
        request = fields.get("hallchute-attempt-id", "")
        if fields.get("hallchute-expect-replica", self.name) != self.name:
            self.reject(sock, request, 421)
            return
        if not self.has_memory(fields):
            self.reject(sock, request, 503)
            return
        with self.lock:
            self.runs.append((time.monotonic(), request, fields.get("hallchute-tenant", ""), len(body)))
        time.sleep(self.work_s)
        head = {"Hallchute-Attempt-Id": request, "Hallchute-Replica-Signature": SIGNATURE}
        if self.events == 0:
            text = b"done " + request.encode()
            head["Content-Length"] = str(len(text))
            sock.sendall(wire.head_bytes("HTTP/1.1 200 OK", head) + text)
            return
        head["Content-Type"] = "text/event-stream"
        head["Transfer-Encoding"] = "chunked"
        sock.sendall(wire.head_bytes("HTTP/1.1 200 OK", head))
        for number in range(1, self.events + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(self.event_gap_s)
        sock.sendall(b"0\r\n\r\n")

    def has_memory(self, fields):
        counts = fields.get("hallchute-token-counts")
        if self.memory_tokens is None or counts is None:
            return True
        return sum(int(count) for count in counts.split(",")) <= self.memory_tokens

    def reject(self, sock, request, status):
        with self.lock:
            self.rejected.append((time.monotonic(), request, status))
        head = {"Hallchute-Attempt-Id": request, "Hallchute-Not-Executed": "1", "Content-Length": "0"}
        sock.sendall(wire.head_bytes("HTTP/1.1 %d Rejected" % status, head))

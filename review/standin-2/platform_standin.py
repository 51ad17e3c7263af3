"""A stand-in of the platform: its object store and its cloud API (PROTOCOL.md), on one loopback address."""

import json
import socketserver
import threading
import time
import urllib.parse

import wire


class Platform:
    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 0
        self.objects = {}
        self.events = []
        self.cloud_calls = []
        platform = self

        class Handler(socketserver.StreamRequestHandler):
            def handle(self):
                platform.serve(self.rfile, self.wfile, self.client_address[0])

        class Server(socketserver.ThreadingTCPServer):
            daemon_threads = True
            allow_reuse_address = True
            request_queue_size = 512

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, kind, name, spec):
        """Writes as the operator and the replicas do."""
        with self.changed:
            before = self.objects.setdefault(kind, {}).get(name, {})
            return self.store(kind, name, spec, before.get("status"))

    def remove(self, kind, name):
        with self.changed:
            gone = self.objects.setdefault(kind, {}).pop(name, None)
            if gone is not None:
                self.revision += 1
                self.note(kind, gone, True)

    def store(self, kind, name, spec, status):
        before = self.objects.setdefault(kind, {}).get(name)
        if before and before["spec"] == spec and before.get("status") == status:
            return before
        self.revision += 1
        made = {"metadata": {"name": name, "rev": self.revision}, "spec": spec}
        if status is not None:
            made["status"] = status
        self.objects[kind][name] = made
        self.note(kind, made, False)
        return made

    def note(self, kind, item, deleted):
        self.events.append((self.revision, kind, {"object": item, "deleted": deleted}))
        self.changed.notify_all()

    def serve(self, reader, writer, caller):
        try:
            head = wire.read_head(reader)
            if head is None:
                return
            line, fields = head
            body = wire.read_body(reader, fields)
            method, target, _ = line.split()
            status, answer = self.answer(method, target, fields, body, caller)
            text = json.dumps(answer).encode()
            head_fields = {"Content-Type": "application/json", "Content-Length": str(len(text)), "Connection": "close"}
            writer.write(wire.head_bytes("HTTP/1.1 %d Answer" % status, head_fields) + text)
        except OSError:
            pass

    def answer(self, method, target, fields, body, caller):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        path = [urllib.parse.unquote(part) for part in url.path.split("/") if part]
        if path and path[0] in ("usage", "scale"):
            holder = (fields.get("hallchute-duty-holder"), int(fields.get("hallchute-fence-token", "0")))
            with self.changed:
                self.cloud_calls.append((time.monotonic(), path[0], caller, holder, json.loads(body)))
            return 200, {}
        if not path or path[0] != "objects" or len(path) < 2:
            return 404, {}
        name = path[2] if len(path) > 2 else None
        if method == "GET":
            return self.read(path[1], name, query)
        return self.write(method, path[1], name, len(path) > 3, json.loads(body or b"{}"))

    def read(self, kind, name, query):
        if name is None and "watch" in query:
            return 200, self.watch(kind, int(query["watch"]), int(query.get("wait-ms", "0")))
        with self.changed:
            known = self.objects.setdefault(kind, {})
            if name is None:
                return 200, {"as-of": self.revision, "items": list(known.values()), "more-pages": False}
            return (200, known[name]) if name in known else (404, {})

    def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        with self.changed:
            while True:
                found = [event for revision, of, event in self.events if of == kind and revision > since]
                left = end - time.monotonic()
                if found or left <= 0:
                    return {"as-of": self.revision, "events": found}
                self.changed.wait(left)

    def write(self, method, kind, name, of_status, body):
        with self.changed:
            known = self.objects.setdefault(kind, {})
            metadata = body.get("metadata", {})
            if method == "POST":
                name = metadata["name"]
                if name in known:
                    return 409, known[name]
                return 200, self.store(kind, name, body.get("spec"), None)
            if method != "PUT":
                return 405, {}
            if name not in known:
                return 404, {}
            if metadata.get("rev") not in (None, known[name]["metadata"]["rev"]):
                return 409, known[name]
            if of_status:
                return 200, self.store(kind, name, known[name]["spec"], body.get("status"))
            return 200, self.store(kind, name, body.get("spec"), known[name].get("status"))

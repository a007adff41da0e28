"""A registry of a few lines on loopback, that fails as it is told to."""

from __future__ import annotations

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class StandIn:
    """A registry that answers calls by `plan`, a status, body and header each, then as one that
    holds.
    """

    def __init__(self, held=b"", *plan):
        self.held, self.plan, self.calls, self.over = held, list(plan), [], threading.Event()
        self.status = None
        outer = self

        class Handler(BaseHTTPRequestHandler):
            def do_POST(self):
                sent = self.rfile.read(int(self.headers["Content-Length"] or 0))
                code, said, more = outer.answer(self.path, sent)
                if code == 0:
                    outer.over.wait(5)  # silence, until the test is done
                    return
                self.send_response(code)
                self.send_header("Content-Length", str(len(said)))
                for name, value in more.items():
                    self.send_header(name, value)
                self.end_headers()
                self.wfile.write(said)

            def log_message(self, *_):
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.at = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, args=(0.01,), daemon=True).start()

    def answer(self, path, sent):
        self.calls.append((path, sent))
        if self.plan:
            code, said, *more = self.plan.pop(0)
            return code, said, more[0] if more else {}
        if path.endswith("replace"):
            if int(json.loads(sent)["version"][1:]) > int(json.loads(self.held)["version"][1:]):
                self.held = sent
            return 200, json.dumps({"version": json.loads(self.held)["version"]}).encode(), {}
        return 200, json.dumps(self.status).encode() if path.endswith("status") else self.held, {}

    def close(self):
        self.over.set()
        self.server.shutdown()
        self.server.server_close()

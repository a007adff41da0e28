"""A minimal registry on loopback with scripted failures."""

from __future__ import annotations

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class StandIn:
    """A registry that gives the scripted answers first, then stores and returns a configuration.

    Attributes:
        stored: The stored configuration as JSON.
        plan: Scripted answers: status, body and optionally headers; status 0 for no answer.
        calls: Path and body of each call.
        status: The answer to status calls, or None.
        at: Its address, HOST:PORT.
    """

    def __init__(self, stored=b"", *plan):
        self.stored, self.plan, self.calls, self.closed = stored, list(plan), [], threading.Event()
        self.status = None
        outer = self

        class Handler(BaseHTTPRequestHandler):
            def do_POST(self):
                body = self.rfile.read(int(self.headers["Content-Length"] or 0))
                code, answer, headers = outer.answer(self.path, body)
                if code == 0:
                    outer.closed.wait(5)  # no answer until the test ends
                    return
                self.send_response(code)
                self.send_header("Content-Length", str(len(answer)))
                for name, value in headers.items():
                    self.send_header(name, value)
                self.end_headers()
                self.wfile.write(answer)

            def log_message(self, *_):
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.at = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, args=(0.01,), daemon=True).start()

    def answer(self, path, body):
        """Records a call and returns status, body and headers of its answer."""
        self.calls.append((path, body))
        if self.plan:
            code, answer, *headers = self.plan.pop(0)
            return code, answer, headers[0] if headers else {}
        if path.endswith("replace"):
            if int(json.loads(body)["version"][1:]) > int(json.loads(self.stored)["version"][1:]):
                self.stored = body
            return 200, json.dumps({"version": json.loads(self.stored)["version"]}).encode(), {}
        return 200, json.dumps(self.status).encode() if path.endswith("status") else self.stored, {}

    def close(self):
        self.closed.set()
        self.server.shutdown()
        self.server.server_close()

"""Small stand-ins: a runner (model server) and the operator. They do what PROTOCOL says of a sound one."""
import http.server, json, threading, time
from fleet import call, until


class Runner:
    """Registers by heartbeats, runs what it is sent and notes it. A new life has a new instanceId."""

    def __init__(self, fleet, record, instance, service, address, zone, work_s=0.005):
        self.fleet, self.record, self.instance, self.service = fleet, record, instance, service
        self.address, self.zone, self.work_s = address, zone, work_s
        self.runs, self.lock, self.ended, self.sequence = [], threading.Lock(), threading.Event(), 0
        runner = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def send(self, status, body=b"", headers=()):
                self.send_response(status)
                for name, value in headers:
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def do_GET(self):
                if self.path == "/health":
                    return self.send(200, headers=[("X-Instance-Id", runner.instance)])
                self.run()

            def do_POST(self):
                self.run()

            def run(self):
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                attempt = self.headers.get("X-Attempt-Id")
                own = [("X-Attempt-Id", attempt or "")]
                if not attempt:
                    return self.send(400, headers=[("X-Not-Executed", "1")])
                expected = self.headers.get("X-Expected-Instance")
                if expected and expected != runner.instance:
                    return self.send(421, headers=own + [("X-Not-Executed", "1")])
                with runner.lock:
                    runner.runs.append((time.monotonic(), attempt, dict(self.headers), self.path, body))
                time.sleep(runner.work_s)
                self.send(200, ("ran " + attempt).encode(),
                          own + [("X-Server-Seal", "s." + runner.instance + "." + attempt)])

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *_):
                pass

        self.server = Server(address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        node = ZoneOrder(self.fleet, self.zone)
        while not self.ended.is_set():
            self.sequence += 1
            body = {"targetService": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
                    "configVersion": "v1", "capacity": 64, "state": "in_service", "warmupLeftMs": 0,
                    "sequence": self.sequence}
            status, _ = call(node.address(), "POST", "/v1/Instances.Heartbeat/" + self.instance, body)
            if not 200 <= status < 300:
                node.next()
                self.ended.wait(0.1)
                continue
            self.ended.wait(1.2)

    def close(self):
        self.ended.set()
        self.server.shutdown()
        self.server.server_close()


class ZoneOrder:
    """The core machines, the one of the caller's zone first; the next one after a failure."""

    def __init__(self, fleet, zone):
        from fleet import ZONES
        self.fleet, self.at = fleet, ZONES.index(zone)

    def address(self):
        return self.fleet.control(self.at % len(self.fleet.core))

    def next(self):
        self.at += 1


def order(fleet, record, path, body=None, headers=None, first=0, limit_s=15):
    """The operator: one order, sent again unchanged to the next node after a failure, a 5xx or a second of silence.
    Returns (status, time of the answer)."""
    end, pause = time.monotonic() + limit_s, 0.05
    node = first
    while time.monotonic() < end:
        sent = time.monotonic()
        status, answer = call(fleet.control(node % len(fleet.core)), "POST", path, body, 1.0, headers)
        record("operator: POST %s to core-%d -> %s" % (path, node % len(fleet.core) + 1,
                                                      status if status else "no answer in %.2f s" % (time.monotonic() - sent)))
        if status and status < 500 and status not in (408, 429):
            return status, time.monotonic()
        node += 1
        time.sleep(pause)
        pause = min(0.5, pause * 2)
    return 0, time.monotonic()


def route(prefix, service, **more):
    return dict({"label": "r" + prefix.strip("/"), "authority": "shop.example", "pathPrefix": prefix,
                 "routeType": "unsafe", "expiryMs": 3000, "targetLatencyMs": 300, "precedence": 2,
                 "targetService": service, "maxAttempts": 1, "keyless": False, "sessionAffinity": False,
                 "streamResume": False}, **more)


def configuration(version, routes, services, subscribers=None):
    whole = {"configVersion": version, "routeTable": routes,
             "serviceTable": [{"label": s, "healthPath": "/health", "connLimit": 110, "protocol": "h1",
                               "tlsMode": False} for s in services],
             "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimerMs": 3000,
                        "idleTimerMs": 15000}}
    if subscribers is not None:
        whole["subscribers"] = subscribers
    return json.dumps(whole)


def replace(fleet, record, base, text):
    record("operator: configuration on base %d: %s" % (base, text))
    return order(fleet, record, "/v1/Configuration.Replace", text, {"X-Base-Version": str(base)})


def ask(access, attempt, path, key=None, timeout=3.0, method="POST", body="{}"):
    """One try of a client."""
    headers = {"Host": "shop.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "3000"}
    if key is not None:
        headers["Authorization"] = "Bearer " + key
    return call(access, method, path, body, timeout, headers)

"""Stand-ins for the scripts of this review: the platform's store and promotion call, databases, settings and clients.

They follow the users' pages. Where a page says nothing they behave like a sound server. Everything listens on loopback
addresses and free ports, and ends with the script.
"""

import http.server
import json
import os
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "wasabiyard-node")


HEARTBEAT_S = 1.2


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f}  {text}\n")
            self.file.flush()


class Store:
    """The platform's metadata store: objects by kind and name, with one counter of revisions."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.RLock()
        self.revision = 100
        self.kinds = {}
        self.promote = None
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def reply(self, status, value=None):
                body = b"" if value is None else json.dumps(value).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def handle_any(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                value = json.loads(body) if body else None
                url = urllib.parse.urlparse(self.path)
                if url.path == "/promote" and store.promote:
                    holder = self.headers.get("X-Duty-Holder")
                    fence = int(self.headers.get("X-Fencing-Token") or 0)
                    self.reply(store.promote(value, holder, fence))
                    return
                self.reply(*store.call(self.command, url, value))

            do_GET = do_PUT = do_POST = do_DELETE = handle_any

        class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
            daemon_threads = True
            request_queue_size = 128

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def call(self, method, url, value):
        parts = [urllib.parse.unquote(p) for p in url.path.split("/") if p]
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        if parts[:2] != ["wasabiyard", "objects"] or len(parts) < 3:
            return 404, None
        kind = parts[2]
        name = parts[3] if len(parts) > 3 else None
        with self.lock:
            objects = self.kinds.setdefault(kind, {})
            if method == "GET" and name is None:
                if "watch" in query:
                    return 410, None
                names = sorted(n for n in objects if n > query.get("after", ""))
                page = names[:500]
                return 200, {
                    "items": [objects[n] for n in page],
                    "has_more": len(names) > len(page),
                    "at_revision": self.revision,
                }
            if method == "POST":
                name = value["meta"]["name"]
                if name in objects:
                    return 409, objects[name]
                return 200, self.write(kind, name, value.get("spec"))
            old = objects.get(name)
            if old is None:
                return 404, None
            if method == "GET":
                return 200, old
            expected = query.get("revision")
            if expected is None and value:
                expected = (value.get("meta") or {}).get("revision")
            if expected is not None and int(expected) != old["meta"]["revision"]:
                return 409, old
            if method == "DELETE":
                self.revision += 1
                del objects[name]
                return 200, old
            return 200, self.write(kind, name, value.get("spec"))

    def remove(self, kind, name):
        with self.lock:
            if self.kinds.get(kind, {}).pop(name, None):
                self.revision += 1

    def write(self, kind, name, spec):
        with self.lock:
            objects = self.kinds.setdefault(kind, {})
            old = objects.get(name)
            if old and old["spec"] == spec:
                return old
            self.revision += 1
            created = old["meta"]["created"] if old else self.revision
            objects[name] = {
                "meta": {
                    "name": name,
                    "revision": self.revision,
                    "created": created,
                    "finalizers": [],
                    "deletion_pending": False,
                },
                "spec": spec,
                "status": None,
            }
            return objects[name]


class Group:
    """A service: databases with one log, a primary and replicas that follow at once."""

    def __init__(self, service, count, store, record, zones=("a",), capacity=5, work_s=0.002):
        self.service = service
        self.store = store
        self.record = record
        self.lock = threading.RLock()
        self.term = 1
        self.capacity = capacity
        self.work_s = work_s
        self.zones = zones
        # Whether the primary is partitioned from its replicas.
        self.is_cut = False
        self.databases = [Database(self, f"i-{service}-{n}", zones[n % len(zones)]) for n in range(count)]
        self.databases[0].primary = True
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        sequence = 0
        while True:
            sequence += 1
            for database in self.databases:
                if not database.down:
                    database.register(sequence)
            time.sleep(HEARTBEAT_S)

    def position(self, database):
        log = database.log
        return f"{log[-1][0]}.{len(log)}" if log else f"{database.term}.0"

    def commit(self, database, writes):
        """Returns whether the database could commit."""
        with self.lock:
            if not database.primary:
                return False
            for write in writes:
                database.log.append((database.term, *write))
            if database.term == self.term and not self.is_cut:
                for other in self.databases:
                    if not other.primary and not other.down:
                        other.log = list(database.log)
            return True

    def catch_up(self):
        """The replicas receive what the primary of the newest term has."""
        with self.lock:
            leader = next((d for d in self.databases if d.primary and d.term == self.term), None)
            for other in self.databases:
                if leader and not other.primary and not other.down:
                    other.log = list(leader.log)

    def come_back(self, crashed, name):
        """A database that has crashed is back under a new id, with its log, and as what it was if nobody was promoted."""
        database = Database(self, name, crashed.zone)
        with self.lock:
            database.log = list(crashed.log)
            database.term = crashed.term
            database.primary = crashed.primary and crashed.term == self.term
            self.databases[self.databases.index(crashed)] = database
        database.register(1)
        # The entry of the old id is removed after three heartbeat intervals of silence.
        left = crashed.heard_at + 3 * HEARTBEAT_S - time.monotonic()
        threading.Timer(max(left, 0.0), self.store.remove, ["servers", crashed.name]).start()
        return database

    def promote(self, name):
        database = next((d for d in self.databases if d.name == name), None)
        if database is None or database.down:
            return 409
        with self.lock:
            if database.primary and database.term == self.term:
                return 200
        threading.Timer(0.3, self.lead, [database]).start()
        return 200

    def lead(self, database):
        with self.lock:
            self.term += 1
            database.term = self.term
            database.primary = True
            self.record(f"platform: {database.name} leads {self.service} in term {self.term} with {len(database.log)} commits")
            for other in self.databases:
                if other is not database and not other.primary and not other.down:
                    other.term = self.term
                    other.log = list(database.log)
            old = [d for d in self.databases if d.primary and d is not database]
        for other in old:
            threading.Timer(1.0, self.follow, [other]).start()
        database.register(int(time.time()))

    def follow(self, database):
        with self.lock:
            leader = next(d for d in self.databases if d.primary and d.term == self.term)
            if database is leader:
                return
            database.primary = False
            database.term = self.term
            database.log = list(leader.log)
        database.register(int(time.time()))


class Database:
    def __init__(self, group, name, zone):
        self.group = group
        self.name = name
        self.zone = zone
        self.primary = False
        self.term = 1
        self.log = []
        self.down = False
        self.draining = False
        self.born = int(time.time() * 1000)
        self.slots = threading.Semaphore(group.capacity)
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = self.listener.getsockname()
        self.connections = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def register(self, sequence):
        self.heard_at = time.monotonic()
        self.group.store.write(
            "servers",
            self.name,
            {
                "service": self.group.service,
                "address": "%s:%d" % self.address,
                "zone": self.zone,
                "version": "v1",
                "capacity": self.group.capacity,
                "state": "draining" if self.draining else "ready",
                "warmup_left_ms": 0,
                "db_role": "primary" if self.primary else "replica",
                "sequence": sequence,
                "born": self.born,
            },
        )

    def crash(self):
        self.down = True
        # Nothing listens any more, so that a connection is refused.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for conn in list(self.connections):
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def accept(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        self.connections.add(conn)
        try:
            Connection(self, conn).run()
        except (OSError, ConnectionError):
            pass
        finally:
            self.connections.discard(conn)
            conn.close()


class Connection:
    """A connection to a database. Closing it rolls its transaction back."""

    def __init__(self, database, conn):
        self.database = database
        self.group = database.group
        self.conn = conn
        self.lines = Lines(conn)
        self.values = {}
        self.prepared = {}
        self.transaction = None
        self.read_only = False
        self.tenant = "-"

    def run(self):
        line = self.lines.read()
        if line is None:
            return
        words = line.split(" ")
        if words[0] != "STARTUP" or words[1] != self.group.service or (len(words) > 3 and words[3] != self.database.name):
            self.conn.sendall(b"ERROR WRONGNODE another\r\n")
            return
        self.tenant = words[2] if len(words) > 2 else "-"
        self.conn.sendall(f"READY I {self.group.position(self.database)}\r\n".encode())
        while True:
            line = self.lines.read()
            if line is None or line == "TERMINATE":
                return
            keyword, _, rest = line.partition(" ")
            ident, _, text = rest.partition(" ")
            if keyword != "QUERY":
                return
            if self.database.down:
                return
            out = self.answer(ident, text)
            state = "I" if self.transaction is None else "T"
            self.conn.sendall(f"{out}READY {state} {self.group.position(self.database)}\r\n".encode())

    def answer(self, ident, text):
        database, group = self.database, self.group
        word, _, rest = text.partition(" ")
        if word == "AFTERLSN":
            position, _, text = rest.partition(" ")
            term, number = (int(x) for x in position.split("."))
            own = group.position(database)
            if tuple(int(x) for x in own.split(".")) < (term, number):
                return "ERROR LAGGING behind\r\n"
            word, _, rest = text.partition(" ")
        if word == "STATUS":
            role = "primary" if database.primary else "replica"
            return f"DATAROW {role} {database.term} {group.position(database)} {database.term} 0 0 {len(database.connections)}\r\nCOMPLETE -\r\n"
        if word == "STEPDOWN":
            if database.primary and database.term < int(rest):
                database.primary = False
                group.record(f"platform: {database.name} stepped down")
            role = "primary" if database.primary else "replica"
            return f"DATAROW {role} {database.term} {group.position(database)} {database.term} 0 0 0\r\nCOMPLETE -\r\n"
        if word == "DISCARD":
            self.values.clear()
            self.prepared.clear()
            return "COMPLETE -\r\n"
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return "COMPLETE -\r\n"
        if word == "PREPARE":
            name, _, shape = rest.partition(" ")
            # A later definition of a name takes the place of an earlier one, as for requesters.
            self.prepared[name] = shape
            return "COMPLETE -\r\n"
        if word == "DEALLOC":
            return "COMPLETE -\r\n" if self.prepared.pop(rest, None) else "ERROR NOSTMT no such name\r\n"
        if word == "BEGIN":
            if rest != "READ" and not database.primary:
                return f"ERROR READONLY {database.name}\r\n"
            self.transaction, self.read_only = [], rest == "READ"
            return "COMPLETE -\r\n"
        if word == "ROLLBACK":
            self.transaction = None
            return "COMPLETE -\r\n"
        return self.work(ident, text, word, rest)

    def work(self, ident, text, word, rest):
        database, group = self.database, self.group
        with database.slots:
            time.sleep(group.work_s)
            digest = f"{len(database.log)}.{ident}.{os.urandom(4).hex()}"
            if word == "COMMIT":
                writes, self.transaction = self.transaction or [], None
                if writes and not group.commit(database, writes):
                    return f"ERROR READONLY {database.name}\r\n"
                group.record(f"{database.name} ran {ident} for {self.tenant}: COMMIT, now at {group.position(database)}")
                return f"COMPLETE {digest}\r\n"
            shape = None
            if word == "EXECUTE":
                name, _, rest = rest.partition(" ")
                shape = self.prepared.get(name)
                if shape is None:
                    return "ERROR NOSTMT no such name\r\n"
                word = shape.split(" ")[0]
            if word not in ("READ", "WRITE"):
                return "ERROR MALFORMED what\r\n"
            if word == "WRITE":
                write = (ident, rest)
                if self.transaction is not None:
                    self.transaction.append(write)
                elif not group.commit(database, [write]):
                    return f"ERROR READONLY {database.name}\r\n"
            shown = f"{text} (shape {shape})" if shape else text
            group.record(f"{database.name} ran {ident} for {self.tenant}: {shown}, now at {group.position(database)}")
            rows = f"DATAROW {rest.split(' ')[0]}\r\n" if word == "READ" else ""
            if shape:
                rows = f"DATAROW {shape}\r\n"
            return f"{rows}COMPLETE {digest}\r\n"


class Lines:
    def __init__(self, conn):
        self.conn = conn
        self.buf = b""

    def read(self):
        while b"\r\n" not in self.buf:
            chunk = self.conn.recv(65536)
            if not chunk:
                return None
            self.buf += chunk
        line, _, self.buf = self.buf.partition(b"\r\n")
        return line.decode()


class Client:
    """A requester with one session."""

    def __init__(self, address, database, key, timeout=5.0):
        self.conn = socket.create_connection(address, timeout)
        self.conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.conn.settimeout(timeout)
        self.lines = Lines(self.conn)
        self.conn.sendall(f"STARTUP {database} {key}\r\n".encode())
        self.ready = self.lines.read()

    def query(self, ident, text):
        """The lines of the answer; `None` if the connection ended."""
        self.conn.sendall(f"QUERY {ident} {text}\r\n".encode())
        answer = []
        while True:
            line = self.lines.read()
            if line is None:
                return None
            answer.append(line)
            if line.startswith("READY"):
                return answer

    def close(self):
        self.conn.close()


class Node:
    """A process of the project, started as the deploy file says, with the settings of `deploy/node.ini`."""

    def __init__(self, name, zone, store, promotion, folder, memory_mb=260, max_fds=4300, grace_s=6):
        self.name = name
        port = [free_port() for _ in range(4)]
        self.callers, self.readiness, self.peers, self.metrics = (("127.0.0.1", p) for p in port)
        self.settings = os.path.join(folder, f"{name}.ini")
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(
                f"[instance]\nid = {name}\nfailure_domain = {zone}\n\n"
                f"[listen]\ncallers = 127.0.0.1:{port[0]}\nreadiness = 127.0.0.1:{port[1]}\n"
                f"peers = 127.0.0.1:{port[2]}\nmetrics = 127.0.0.1:{port[3]}\n\n"
                f"[store]\naddress = {store[0]}:{store[1]}\n\n"
                f"[promotion]\naddress = {promotion[0]}:{promotion[1]}\n\n"
                f"[limits]\nrevocation_ms = 5000\ngrace_ms = {grace_s}000\nrate_tolerance = 20\n\n"
                f"[usage]\nduties = failover\n\n[regions]\na = r\nb = r\nc = r\n\n"
                f"[resources]\nmemory_mb = {memory_mb}\nmax_descriptors = {max_fds}\n"
            )
        self.log = open(os.path.join(folder, f"{name}.log"), "ab")
        self.process = None

    def start(self):
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["WASABIYARD_CONFIG"] = self.settings
        self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=env, stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL)
        return self

    def is_ready(self, timeout=1.0):
        """Whether the readiness probe gets 200 in time, as the platform asks."""
        try:
            with socket.create_connection(self.readiness, timeout) as s:
                s.settimeout(timeout)
                s.sendall(b"GET /wasabiyard/readyz HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n")
                return s.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def await_ready(self, timeout=20.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if self.is_ready():
                return True
            time.sleep(0.1)
        return False

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def configuration(service, routes, tenants, sync_replicas=0, max_connections=50, version=7):
    """A configuration of the operator. `routes` holds (host, route type, timeout in ms, max staleness in ms)."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{host}",
                "host": host,
                "path_prefix": "/",
                "route_type": route_type,
                "timeout_ms": timeout_ms,
                "target_latency_ms": 400,
                "priority": 1,
                "service": service,
                "attempts": 2,
                "max_staleness_ms": staleness,
                "public": False,
            }
            for host, route_type, timeout_ms, staleness in routes
        ],
        "services": [
            {
                "name": service,
                "health_path": "/healthz",
                "max_connections": max_connections,
                "protocol": "h1",
                "tls": False,
                "warmup_s": 0.0,
                "warmup_per_s": 0.0,
                "sync_replicas": sync_replicas,
            }
        ],
        "limits": {"tx_idle_ms": 3000},
        "tenants": [
            {"name": name, "api_keys": [key], "priority": 1, "rate_per_s": rate, "burst": rate} for name, key, rate in tenants
        ],
    }


def trouble():
    return os.environ.get("TROUBLE") != "0"


def run(main):
    """Runs a script with a temporary folder, and ends with its result. 2 means that the case could not run."""
    if not os.path.exists(PROGRAM):
        print("the program is not built")
        os._exit(2)
    nodes = []

    def give_up(*_):
        for node in nodes:
            node.end()
        os._exit(2)

    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(115)
    code = 2
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = main(folder, nodes)
        except Exception as e:  # The case could not run.
            print(f"could not run: {e!r}")
        finally:
            for node in nodes:
                node.end()
    sys.stdout.flush()
    os._exit(code)

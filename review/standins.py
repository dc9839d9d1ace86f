"""Stand-ins of the review: machines, operator, endpoints and clients.

The system's processes are started with the commands of the deploy file on
loopback addresses. Everything else follows the users' pages and uses the
standard library only.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
DATAGRAM_PORT = 8172
READY_PORT = 8167
CONTROL_PORT = 8166
INTERNAL_PORTS = (7720, 7735)
ENDPOINT_PORT = 8080
# The address of all routes; only a field of packets, nothing listens there.
HOST = "127.18.0.1"
HEARTBEAT_S = 0.77
NETS = range(30, 100)
ZONES = ("buc-a", "buc-b", "buc-c", "buc-d")
FRONT_ZONES = ("buc-a", "buc-a", "buc-b", "buc-c", "buc-d")
BOUNDS = {
    "seed-lag-s": 3,
    "addr-reuse-s": 2,
    "stable-window-ms": 4000,
    "ack-timeout-ms": 5000,
    "catch-up-s": 4,
    "drain-ms": 3000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "config-apply-ms": 3000,
    "rollback-slack-ms": 250,
    "max-stretch-ms": 12000,
    "cold-burst-factor": 1.5,
    "cold-slack": 5,
    "evacuate-ms": 5000,
    "recovery-s": 12,
    "flow-stray-ms": 2000,
    "flow-ttl-s": 60,
}
# Seconds from the start of the machines to the start of traffic.
LEAD_S = 12.0

FIN = 1
BOUNCED = 2
SYN = 4
RST = 8
ACK = 32
HEADER = struct.Struct(">IIH4s4sHHBBI")
SUM = struct.Struct(">I")
_SUM_KEY = b"review"


class CannotRunError(Exception):
    """The case can't be played, for a reason outside the rule."""


class Record:
    """What was sent, answered and run, one JSON object a line."""

    def __init__(self, path):
        self._file = open(path, "w")  # noqa: SIM115
        self._start = time.monotonic()

    def now(self):
        """Return the seconds since the start of the run."""
        return round(time.monotonic() - self._start, 4)

    def write(self, what, **fields):
        """Write one line with the time."""
        line = json.dumps({"t": self.now(), "what": what, **fields})
        self._file.write(line + "\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


def _toml(value):
    if isinstance(value, bool):
        return str(value).lower()
    return json.dumps(value)


class Machine:
    """One machine of the system with its process."""

    def __init__(self, world, role, zone, address):
        self.role = role
        self.zone = zone
        self.address = address
        self.name = f"{role}-{zone}-{address}"
        self.folder = world.folder / self.name
        self.folder.mkdir()
        self.process = None
        self.ports = INTERNAL_PORTS
        self._world = world

    def configure(self, seeds, bootstrap):
        """Write the settings file as the platform does."""
        is_front = self.role == "front"
        fields = {
            "node-name": self.name,
            "role": self._world.commands[self.role][0],
            "machine-class": self.role,
            "serves": [self.role if is_front else "control"],
            "ip": self.address,
            "zone": self.zone,
            "region": "ro-buc",
            "internal-port-range": list(self.ports),
            "seeds": [f"{seed}:{CONTROL_PORT}" for seed in seeds],
            "bootstrap": bootstrap,
            "in-fault-budget": not is_front,
            "discovery": "registry",
            "entry": "announcement",
            "heartbeat-ms": int(HEARTBEAT_S * 1000),
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "flows",
                "places",
            ],
            "config_mode": "highest",
            "flow-hash": "mod",
            "forwarding-mode": "echo",
        }
        binds = {"control": f"{self.address}:{CONTROL_PORT}"}
        if is_front:
            binds = {
                "datagram-addr": f"{self.address}:{DATAGRAM_PORT}",
                "ready": f"{self.address}:{READY_PORT}",
            }
        else:
            fields["data-dir"] = str(self.folder / "data")
        tables = {
            "zones": {zone: "ro-buc" for zone in ZONES},
            "bind-addrs": binds,
            "fault-tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
        }
        lines = [f"{key} = {_toml(value)}" for key, value in fields.items()]
        for name, table in tables.items():
            lines.append(f"[{name}]")
            lines += [f"{key} = {_toml(table[key])}" for key in table]
        new = self.folder / "node.toml.new"
        new.write_text("\n".join(lines) + "\n")
        new.rename(self.folder / "node.toml")

    def start(self):
        """Start the process with the command of the deploy file."""
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["EBONYTALLY_CONFIG"] = str(self.folder / "node.toml")
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                self._world.commands[self.role][1],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    def lose_disk(self):
        """Delete what the machine has on its disk."""
        shutil.rmtree(self.folder / "data", ignore_errors=True)

    def log_lines(self):
        """Return the decoded lines that the process wrote."""
        lines = []
        for line in (self.folder / "log").read_text().splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines


class World:
    """A small deployment; `close` ends all that was started."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {}
        for name, role in deploy["roles"].items():
            self.commands[role["on"]] = (name, role["run"].split())
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("the system is not built: no target/deps")
        self._reserved = None
        self.net = self._reserve_net()
        self.machines = []
        self.cut_zone = None
        self._next_host = 0

    def _reserve_net(self):
        """Return the second byte of a loopback network that is free."""
        nets = list(NETS)
        random.shuffle(nets)
        for net in nets:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                sock.bind((f"127.{net}.250.1", DATAGRAM_PORT))
            except OSError:
                sock.close()
                continue
            self._reserved = sock
            return net
        raise CannotRunError("no loopback network is free")

    def new_address(self, third):
        """Return an address that nothing else of this run has."""
        self._next_host += 1
        return f"127.{self.net}.{third}.{self._next_host}"

    @property
    def fronts(self):
        """Return the machines that take clients' packets."""
        return [one for one in self.machines if one.role == "front"]

    @property
    def cores(self):
        """Return the machines that serve control."""
        return [one for one in self.machines if one.role == "core"]

    def is_cut(self, zone, other):
        """Return whether nothing passes between two zones."""
        if self.cut_zone is None:
            return False
        return (zone == self.cut_zone) != (other == self.cut_zone)

    def zone_of(self, address):
        """Return the zone of the machine with an address, "" for none."""
        for machine in self.machines:
            if machine.address == address:
                return machine.zone
        return ""

    def make_machines(self, own_ports=False):
        """Make the machines of the system, without starting any.

        :param own_ports: each machine has an internal port range of its
            own, so that proxies can stand between the machines
        """
        for zone in ZONES:
            self.machines.append(
                Machine(self, "core", zone, self.new_address(1))
            )
        for zone in FRONT_ZONES:
            self.machines.append(
                Machine(self, "front", zone, self.new_address(2))
            )
        first, last = INTERNAL_PORTS
        for number, machine in enumerate(self.machines):
            if own_ports:
                start = first + number * (last - first + 1)
                machine.ports = (start, start + last - first)

    def start_machines(self):
        """Start the whole system for the first time."""
        if not self.machines:
            self.make_machines()
        seeds = [machine.address for machine in self.cores[:3]]
        for machine in self.machines:
            machine.configure(seeds, bootstrap=True)
            machine.start()
            self.record.write(
                "machine", name=machine.name, pid=machine.process.pid
            )

    def end_bootstrap(self):
        """Rewrite the settings for later starts of the processes."""
        seeds = [machine.address for machine in self.cores[:3]]
        for machine in self.machines:
            machine.configure(seeds, bootstrap=False)

    def close(self):
        """End all processes that were started, and delete their files."""
        for machine in self.machines:
            machine.kill()
        if self._reserved is not None:
            self._reserved.close()
        shutil.rmtree(self.folder, ignore_errors=True)


async def call(address, port, method, path, body=b"", timeout_s=1.0):
    """Send one HTTP call; return status, headers and body, or None."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(address, port)
            try:
                head = (
                    f"{method} {path} HTTP/1.1\r\nHost: {address}:{port}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n"
                    "Connection: close\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
                raw = await reader.read()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return None
    head, _, answer = raw.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    words = lines[0].split(" ")
    if len(words) < 2 or not words[1].isdigit():
        return None
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return int(words[1]), headers, answer


class Links:
    """Proxies between the machines, which can cut off a zone.

    Each machine sends to its own ports at the other's address; there a
    proxy stands, which passes everything on to the other's ports.
    """

    def __init__(self, world):
        self._world = world
        self._closers = []
        self._sender = None

    async def open(self):
        """Open all proxies; must be called before the machines start."""
        self._sender = await open_datagrams("127.0.0.1", 0, lambda *_: None)
        self._closers.append(self._sender.close)
        for source in self._world.machines:
            for target in self._world.machines:
                if source is not target:
                    await self._open_link(source, target)

    async def _open_link(self, source, target):
        def pass_on(datagram, _):
            if not self._world.is_cut(source.zone, target.zone):
                self._sender.sendto(
                    datagram, (target.address, target.ports[0])
                )

        transport = await open_datagrams(
            target.address, source.ports[0], pass_on
        )
        self._closers.append(transport.close)
        if "front" in (source.role, target.role):
            return

        async def on_connection(reader, writer):
            await self._relay(source, target, reader, writer)

        server = await asyncio.start_server(
            on_connection, target.address, source.ports[0] + 1
        )
        self._closers.append(server.close)

    async def _relay(self, source, target, reader, writer):
        with contextlib.suppress(OSError):
            await self._wait_while_cut(source, target)
            back, forth = await asyncio.open_connection(
                target.address, target.ports[0] + 1
            )
            await asyncio.gather(
                self._copy(source, target, reader, forth),
                self._copy(source, target, back, writer),
            )
        writer.close()

    async def _copy(self, source, target, reader, writer):
        """Pass bytes on; what a cut holds up is passed on after it."""
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self._wait_while_cut(source, target)
                writer.write(data)
                await writer.drain()
        writer.close()

    async def _wait_while_cut(self, source, target):
        while self._world.is_cut(source.zone, target.zone):
            await asyncio.sleep(0.05)

    def close(self):
        """Close all proxies."""
        for close in self._closers:
            close()


class Operator:
    """Sends orders as the operator's API says."""

    def __init__(self, world):
        self._world = world

    async def order(self, method, path, body=b"", until_s=30.0):
        """Send an order until it is answered; return status and body."""
        record = self._world.record
        deadline = time.monotonic() + until_s
        pause_s = 0.1
        record.write("order", method=method, path=path)
        while time.monotonic() < deadline:
            machine = random.choice(self._world.cores)
            address, port = machine.address, CONTROL_PORT
            answer = None
            for _ in range(3):
                answer = await call(address, port, method, path, body)
                if answer is None or answer[0] != 307:
                    break
                target = answer[1]["location"].split("/")[2]
                address, _, text = target.partition(":")
                port = int(text)
            is_final = answer is not None and answer[0] < 500
            if is_final and answer[0] not in (307, 408, 429):
                record.write("answer", path=path, status=answer[0])
                return answer[0], answer[2]
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, pause_s * 2)
        record.write("no answer", path=path)
        return 0, b""

    async def put(self, document):
        """Send a configuration and expect its acknowledgement."""
        body = json.dumps(document).encode()
        self._world.record.write(
            "configuration",
            version=document["version"],
            routes=len(document["routes"]),
            last_route=document["routes"][-1],
        )
        status, _ = await self.order("POST", "/v1/Config.Put", body)
        if status != 200:
            raise CannotRunError(f"configuration answered with {status}")

    async def start_evacuation(self, zone):
        """Take a zone out of use."""
        status, _ = await self.order("POST", f"/v1/Evacuations.Start/{zone}")
        if status != 200:
            raise CannotRunError(f"evacuation answered with {status}")

    async def end_evacuation(self, zone):
        """Take a zone back into use."""
        status, _ = await self.order("POST", f"/v1/Evacuations.End/{zone}")
        if status != 200:
            raise CannotRunError(f"end of evacuation answered with {status}")


def checksum(raw):
    """Return the keyed sum over all fields but echo, pad and BOUNCED."""
    flags = raw[22] & ~BOUNCED
    text = raw[:22] + bytes((flags,)) + raw[32:]
    digest = hashlib.blake2s(text, key=_SUM_KEY, digest_size=4).digest()
    return int.from_bytes(digest, "big") or 1


class Packet:
    """A decoded packet."""

    def __init__(self, raw):
        fields = HEADER.unpack_from(raw)
        self.seq, self.ack, size, dst, src = fields[:5]
        self.dport, self.sport, self.flags, _, self.echo = fields[5:]
        self.dst = socket.inet_ntoa(dst)
        self.src = socket.inet_ntoa(src)
        (self.sum,) = SUM.unpack_from(raw, 28)
        self.data = raw[32:]
        self.is_whole = size == len(self.data)
        self.is_signed = self.sum == checksum(raw)


def encode(src, sport, dst, dport, flags, seq=0, ack=0, echo=0, data=b""):
    """Return a signed packet."""
    head = HEADER.pack(
        seq % 2**32,
        ack % 2**32,
        len(data),
        socket.inet_aton(dst),
        socket.inet_aton(src),
        dport,
        sport,
        flags,
        0,
        echo,
    )
    raw = head + bytes(4) + data
    return head + SUM.pack(checksum(raw)) + data


class Datagrams(asyncio.DatagramProtocol):
    """A UDP socket that passes what it receives to a callback."""

    def __init__(self, on_datagram):
        self._on_datagram = on_datagram

    def datagram_received(self, data, addr):
        """Pass a datagram on."""
        self._on_datagram(data, addr)


async def open_datagrams(address, port, on_datagram):
    """Bind a UDP socket; return its transport."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Datagrams(on_datagram), local_addr=(address, port)
    )
    return transport


class _ServerFlow:
    """A flow at its endpoint."""

    def __init__(self, packet):
        self.isn = random.getrandbits(32)
        self.next_in = (packet.seq + 1) % 2**32
        self.next_out = (self.isn + 1) % 2**32
        self.echo = packet.echo
        self.opened_at = None
        self.opened_by = ""
        self.unacked = None


class Endpoint:
    """A server of one service, as the pages describe it."""

    def __init__(self, world, service, zone, address, id_=None):
        self.world = world
        self.service = service
        self.zone = zone
        self.address = address
        self.id = id_ or f"i-{random.getrandbits(40):010x}"
        self.slots = 2
        self.queue = 8
        self.work_s = 0.04
        self.draining = False
        # Whether heartbeats go to the control of its own zone first.
        self.calls_own_zone = False
        self.cold_until = 0.0
        self.alive_since = None
        # Times and sources of the flows that opened, and of requests run.
        self.opened = []
        self.taken = []
        self.ran = []
        self.beats_acked = []
        self._flows = {}
        self._waiting = []
        self._running = 0
        self._transport = None
        self._tasks = set()
        self._beat_to = None

    def has_open(self, client, port):
        """Return whether a flow is open here."""
        flow = self._flows.get((client, port))
        return flow is not None and flow.opened_at is not None

    async def start(self):
        """Start a new incarnation, which knows no flow."""
        self._flows = {}
        self._waiting = []
        self._running = 0
        self._sequence = 0
        self.draining = False
        self._born = int(time.time() * 1000)
        self._transport = await open_datagrams(
            self.address, ENDPOINT_PORT, self._receive
        )
        self.alive_since = time.monotonic()
        self.world.record.write(
            "endpoint starts",
            id=self.id,
            service=self.service,
            address=self.address,
            born=self._born,
        )
        self._spawn(self._beat_forever())

    def crash(self):
        """End at once, without a word."""
        for task in list(self._tasks):
            task.cancel()
        self._tasks.clear()
        if self._transport is not None:
            self._transport.close()
        self._transport = None
        self.alive_since = None
        self.world.record.write("endpoint crashes", id=self.id)

    def _spawn(self, coro):
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self, verb="Heartbeat"):
        """Announce this endpoint; return whether that was acknowledged."""
        self._sequence += 1
        cold_ms = max(0.0, self.cold_until - time.monotonic()) * 1000
        body = json.dumps(
            {
                "service": self.service,
                "address": f"{self.address}:{ENDPOINT_PORT}",
                "zone": self.zone,
                "version": "v1",
                "concurrency": self.slots,
                "state": "draining" if self.draining else "ready",
                "cold-remaining-ms": round(cold_ms),
                "sequence": self._sequence,
                "born": self._born,
            }
        ).encode()
        targets = [
            (machine.address, CONTROL_PORT) for machine in self.world.cores
        ]
        random.shuffle(targets)
        if self.calls_own_zone:
            targets.sort(
                key=lambda one: self.world.zone_of(one[0]) != self.zone
            )
        if self._beat_to is not None:
            targets.insert(0, self._beat_to)
        for address, port in targets[:3]:
            path = f"/v1/Instances.{verb}/{self.id}"
            if self.world.is_cut(self.zone, self.world.zone_of(address)):
                answer = await asyncio.sleep(1.0)
            else:
                answer = await call(address, port, "POST", path, body)
            self._beat_to = None
            if answer is None or not 200 <= answer[0] < 300:
                continue
            url = json.loads(answer[2] or b"{}").get("heartbeat-url", "")
            if url:
                host, _, text = url.partition(":")
                self._beat_to = (host, int(text))
            self.beats_acked.append((time.monotonic(), round(cold_ms)))
            return True
        return False

    def _receive(self, datagram, source):
        number = int.from_bytes(datagram[:8], "big")
        digits = "".join(c for c in self.id if c in "0123456789abcdefABCDEF")
        if number not in (0, int(digits, 16)) or len(datagram) < 40:
            return
        if self.world.is_cut(self.zone, self.world.zone_of(source[0])):
            return
        packet = Packet(datagram[8:])
        if not packet.is_whole or not packet.is_signed:
            self.world.record.write("forged packet at endpoint", id=self.id)
            return
        key = (packet.src, packet.sport)
        if packet.flags & SYN:
            self._on_syn(packet, key, source[0])
            return
        flow = self._flows.get(key)
        is_strange = flow is None
        if flow is not None and flow.opened_at is None:
            is_strange = packet.ack != flow.next_out
        if packet.flags & RST:
            self._flows.pop(key, None)
            return
        if is_strange:
            self._send(packet, RST, _ServerFlow(packet))
            return
        if flow.opened_at is None:
            flow.opened_at = time.monotonic()
            flow.opened_by = source[0]
            self.opened.append((flow.opened_at, source[0]))
        flow.echo = packet.echo or flow.echo
        self._on_packet(packet, key, flow)

    def _on_syn(self, packet, key, source):
        if packet.flags & ACK:
            return
        flow = self._flows.get(key)
        if flow is None:
            if len(self._flows) >= 2000:
                return
            flow = self._flows[key] = _ServerFlow(packet)
            self.taken.append((time.monotonic(), source, key, packet.dport))
        flow.echo = packet.echo
        self._send(packet, SYN | ACK, flow, seq=flow.isn)

    def _on_packet(self, packet, key, flow):
        if flow.unacked is not None and packet.ack == flow.next_out:
            flow.unacked = None
        if packet.flags & FIN:
            flow.next_in = (packet.seq + len(packet.data) + 1) % 2**32
            self._send(packet, FIN | ACK, flow, seq=flow.next_out)
            del self._flows[key]
            return
        if not packet.data:
            return
        if packet.seq != flow.next_in:
            self._send(packet, ACK, flow, seq=flow.next_out)
            return
        flow.next_in = (packet.seq + len(packet.data)) % 2**32
        self._send(packet, ACK, flow, seq=flow.next_out)
        self._waiting.append((packet, key, flow))
        if self._running < self.slots:
            self._spawn(self._work())
        elif len(self._waiting) > self.queue:
            self._waiting.pop()
            head = "HTTP/1.1 503 Busy\r\nX-Ebonytally-Not-Executed: 1\r\n"
            self._spawn(self._answer(packet, key, flow, head, b""))

    async def _work(self):
        self._running += 1
        try:
            while self._waiting:
                packet, key, flow = self._waiting.pop(0)
                id_ = request_id(packet.data)
                self.ran.append((time.monotonic(), id_, packet.dport))
                self.world.record.write(
                    "run", id=id_, endpoint=self.id, service=self.service
                )
                await asyncio.sleep(self.work_s)
                seal = hashlib.sha256(f"{self.id}{id_}".encode()).hexdigest()
                head = (
                    "HTTP/1.1 200 OK\r\n"
                    f"X-Ebonytally-Response-Seal: {seal}\r\n"
                )
                body = f"{id_} {self.service} {self.id}".encode()
                self._spawn(self._answer(packet, key, flow, head, body))
        finally:
            self._running -= 1

    async def _answer(self, packet, key, flow, head, body):
        """Send an answer until it is acknowledged."""
        data = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        seq = flow.next_out
        flow.next_out = (seq + len(data)) % 2**32
        flow.unacked = seq
        wait_s = 0.2
        for _ in range(9):
            self._send(packet, ACK, flow, seq=seq, data=data)
            await asyncio.sleep(wait_s)
            wait_s = min(1.6, wait_s * 2)
            if flow.unacked != seq or self._flows.get(key) is not flow:
                return

    def _send(self, packet, flags, flow, seq=0, data=b""):
        if self._transport is None:
            return
        raw = encode(
            packet.dst,
            packet.dport,
            packet.src,
            packet.sport,
            flags,
            seq,
            flow.next_in,
            flow.echo,
            data,
        )
        self._transport.sendto(raw, (packet.src, DATAGRAM_PORT))


def request_id(data):
    """Return the request's id from its head, "" if it has none."""
    for line in data.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"x-ebonytally-request-id":
            return value.strip().decode()
    return ""


class Router:
    """The platform's routers: readiness checks and the choice by `mod`."""

    def __init__(self, world):
        self._world = world
        self._misses = {}

    async def run(self):
        """Check the readiness of all daemons twice a second."""
        while True:
            await asyncio.gather(
                *(self._check(machine) for machine in self._world.fronts)
            )
            await asyncio.sleep(0.5)

    async def _check(self, machine):
        path = "/v1/readiness"
        answer = await call(
            machine.address, READY_PORT, "GET", path, timeout_s=0.5
        )
        if answer is not None and answer[0] == 200:
            self._misses[machine.address] = 0
        else:
            misses = self._misses.get(machine.address, 2)
            self._misses[machine.address] = misses + 1

    def in_rotation(self, zone):
        """Return the addresses of a zone's daemons that take packets."""
        mine = [one for one in self._world.fronts if one.zone == zone]
        ready = [one for one in mine if self.is_ready(one)]
        if ready and 2 * len(ready) < len(mine):
            ready = mine
        if not ready:
            ready = [one for one in self._world.fronts if self.is_ready(one)]
        return [one.address for one in ready or mine]

    def is_ready(self, machine):
        """Return whether a daemon has answered the checks."""
        return self._misses.get(machine.address, 2) < 2

    def daemon_for(self, zone, flow_key):
        """Return the daemon for a packet of a flow."""
        addresses = self.in_rotation(zone)
        digest = hashlib.blake2s(repr(flow_key).encode(), digest_size=4)
        return addresses[int.from_bytes(digest.digest()) % len(addresses)]


class Flow:
    """A client's flow."""

    def __init__(self, client, host, port):
        self.client = client
        self.host = host
        self.port = port
        self.sport = client.next_port()
        self.key = (client.address, self.sport, host, port)
        self.opened_at = None
        self.reset_by = ""
        self.reset_at = None
        self.sent_at = None
        self.via = set()
        self._isn = random.getrandbits(32)
        self._out = (self._isn + 1) % 2**32
        self._in = 0
        self._acked = self._out
        self._echo = 0
        self._answers = []
        self._wake = asyncio.Event()

    async def open(self):
        """Open the flow; return whether an endpoint took it."""
        self.client.flows[self.sport] = self
        self.sent_at = time.monotonic()
        for attempt, at_s in enumerate((0.0, 0.2, 0.6)):
            await self._wait(lambda: self.is_over, self.sent_at + at_s)
            if self.is_over:
                break
            self._send(SYN, self._isn, attempt)
        await self._wait(lambda: self.is_over, self.sent_at + 1.4)
        return self.opened_at is not None and not self.reset_by

    @property
    def is_over(self):
        """Return whether the flow has opened, or was reset."""
        return self.opened_at is not None or bool(self.reset_by)

    async def request(self, id_, method="GET", timeout_s=3.0):
        """Send a request; return its whole answer, None without one."""
        data = (
            f"{method} / HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
            f"X-Ebonytally-Request-Id: {id_}\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()
        deadline = time.monotonic() + timeout_s
        seq = self._out
        self._out = (seq + len(data)) % 2**32
        wait_s = 0.2
        while time.monotonic() < deadline and not self.reset_by:
            if self._acked != self._out:
                self._send(ACK, seq, self._in, data)
            until = min(deadline, time.monotonic() + wait_s)
            await self._wait(lambda: self._answers or self.reset_by, until)
            wait_s = min(1.6, wait_s * 2)
            if self._answers:
                return self._answers.pop(0)
        return None

    def close(self):
        """Close the flow."""
        if self.opened_at is not None and not self.reset_by:
            self._send(FIN | ACK, self._out, self._in)
        self.client.flows.pop(self.sport, None)

    def receive(self, packet):
        """Handle a packet of the flow."""
        if packet.flags & RST:
            if not self.reset_by:
                self.reset_by = "endpoint" if packet.is_signed else "system"
                self.reset_at = time.monotonic()
        elif not packet.is_signed or not packet.is_whole:
            self.client.forged.append(time.monotonic())
        elif packet.flags & SYN:
            if self.opened_at is None:
                self.opened_at = time.monotonic()
                self._echo = packet.echo
                self._in = (packet.seq + 1) % 2**32
                self._send(ACK, self._out, self._in)
        elif self.opened_at is not None:
            self._echo = packet.echo or self._echo
            self._acked = packet.ack
            if packet.data:
                if packet.seq == self._in:
                    self._in = (packet.seq + len(packet.data)) % 2**32
                    self._answers.append(packet.data)
                self._send(ACK, self._out, self._in)
        self._wake.set()

    async def _wait(self, is_done, until):
        while not is_done():
            left_s = until - time.monotonic()
            if left_s <= 0:
                return
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), left_s)

    def _send(self, flags, seq, ack, data=b""):
        raw = encode(
            self.client.address,
            self.sport,
            self.host,
            self.port,
            flags,
            seq,
            ack,
            0 if flags & SYN else self._echo,
            data,
        )
        via = self.client.router.daemon_for(self.client.zone, self.key)
        self.via.add(via)
        self.client.transport.sendto(raw, (via, DATAGRAM_PORT))


class Client:
    """Clients of one zone, behind one address."""

    def __init__(self, world, router, zone):
        self.world = world
        self.router = router
        self.zone = zone
        self.address = world.new_address(100)
        self.flows = {}
        self.forged = []
        self.transport = None
        self._port = 20_000

    async def start(self):
        """Bind the clients' address."""
        self.transport = await open_datagrams(
            self.address, DATAGRAM_PORT, self._receive
        )

    def next_port(self):
        """Return a port that no earlier flow had."""
        self._port += 1
        return self._port

    def _receive(self, datagram, _):
        if len(datagram) < 32:
            return
        packet = Packet(datagram)
        flow = self.flows.get(packet.dport)
        if flow is not None:
            flow.receive(packet)


def route(name, port, type_, backends, timeout_ms=3000):
    """Return a route of a configuration.

    :param backends: a service, or a list of services and their weights
    """
    made = {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{port}/",
        "type": type_,
        "timeout-ms": timeout_ms,
        "target-latency-ms": 200,
        "priority": 1,
        "max-attempts": 2,
    }
    if isinstance(backends, str):
        made["service"] = backends
    else:
        made["backends"] = [
            {"service": service, "weight": weight}
            for service, weight in backends
        ]
    return made


def document(version, routes, services, cold_per_s=0.0):
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-path": "/health",
                "max-connections": 2000,
                "protocol": "h1",
                "tls": False,
                "cold-start-s": 2.0,
                "cold-per-s": cold_per_s,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


async def wait_for_readiness(world, router, timeout_s=30.0):
    """Wait until all daemons are in rotation, after the first start."""
    world.end_bootstrap()
    deadline = time.monotonic() + timeout_s
    while not all(router.is_ready(one) for one in world.fronts):
        if time.monotonic() > deadline:
            raise CannotRunError("not all daemons became ready")
        await asyncio.sleep(0.1)


def main(case, folder):
    """Play a case in its folder; exit as the review's text says.

    :param case: coroutine function that takes the world and whether the
        disruption is to be played, and returns the breaks of the rule
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(pathlib.Path(folder) / "record.txt")
    world = None
    status = 2
    try:
        world = World(record)
        record.write("start", trouble=trouble)
        breaks = asyncio.run(asyncio.wait_for(case(world, trouble), 110))
        for line in breaks[:20]:
            record.write("break", detail=line)
        record.write("end", breaks=len(breaks), held=not breaks)
        status = 1 if breaks else 0
        print(
            f"{len(breaks)} breaks" + "".join(f"\n  {b}" for b in breaks[:5])
        )
    except Exception as exc:
        record.write("can't run", why=repr(exc))
        print(f"can't run: {exc!r}")
    finally:
        # A second signal must not leave processes behind.
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        if world is not None:
            world.close()
        record.close()
    sys.exit(status)

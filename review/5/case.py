"""Open flows of a new route are reset by daemons that lag a little.

Configurations add routes in quick succession while the daemons are stopped
and started in turn, so that flows move between daemons. Rule FLOW.
"""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

FIRST_PORT = 9000
GAP_S = 0.33
FLOW_S = 1.5
REQUEST_EVERY_S = 0.06
ROUNDS = 9
ROUND_S = 8.0
STORM_S = 4.4
ROLL_GAP_S = 1.2
ROLLED = 3


def config(version, ports):
    """Return a configuration with one route for each port."""
    routes = [
        standins.route(f"r-{port}", port, "safe", "desk") for port in ports
    ]
    return standins.document(version, routes, ["desk"])


class User:
    """Opens flows on routes, and notes resets by the system."""

    def __init__(self, client, endpoints):
        self._client = client
        self._endpoints = endpoints
        self.breaks = []
        self.flows = 0

    async def use(self, port):
        """Use a route from its acknowledgement on, by one flow."""
        until = time.monotonic() + FLOW_S
        while time.monotonic() < until:
            flow = standins.Flow(self._client, standins.HOST, port)
            if await flow.open():
                self.flows += 1
                await self._send_requests(flow, port, until)
                flow.close()
                return
            flow.close()
            await asyncio.sleep(0.03)

    async def _send_requests(self, flow, port, until):
        record = self._client.world.record
        number = 0
        while time.monotonic() < until and not flow.reset_by:
            number += 1
            id_ = f"{self._client.zone}-{flow.sport}-{number}"
            record.write("sent", id=id_, port=port)
            answer = await flow.request(id_)
            record.write("answered", id=id_, answer=str(answer)[-40:])
            await asyncio.sleep(REQUEST_EVERY_S)
        if flow.reset_by == "system":
            self._note_reset(flow, port)

    def _note_reset(self, flow, port):
        holders = [
            one.id
            for one in self._endpoints
            if one.has_open(self._client.address, flow.sport)
        ]
        self._client.world.record.write(
            "reset by the system", port=port, held_by=holders
        )
        if holders:
            self.breaks.append(
                f"flow of {self._client.zone} to port {port}, open at "
                f"{holders[0]}, reset by the system after "
                f"{flow.reset_at - flow.opened_at:.2f} s; daemons used: "
                f"{len(flow.via)}"
            )


async def roll(world, machines):
    """Stop some daemons as planned, in turn, and start them again."""

    async def restart(machine):
        world.record.write("SIGTERM", machine=machine.name)
        machine.signal(signal.SIGTERM)
        await asyncio.to_thread(machine.process.wait)
        machine.start()

    tasks = []
    for machine in machines:
        tasks.append(asyncio.create_task(restart(machine)))
        await asyncio.sleep(ROLL_GAP_S)
    await asyncio.gather(*tasks)


async def play(world, trouble):
    """Return the breaks of FLOW."""
    world.start_machines()
    router = standins.Router(world)
    checks = asyncio.create_task(router.run())
    operator = standins.Operator(world)
    version = 3
    ports = [FIRST_PORT]
    await operator.put(config(version, ports))
    await standins.wait_for_readiness(world, router)
    endpoints = [
        standins.Endpoint(world, "desk", zone, world.new_address(5))
        for zone in standins.ZONES
        for _ in range(2)
    ]
    for endpoint in endpoints:
        endpoint.work_s = 0.01
        await endpoint.start()
    users = []
    for zone in standins.ZONES:
        client = standins.Client(world, router, zone)
        await client.start()
        users.append(User(client, endpoints))
    await asyncio.sleep(6.0)

    tasks = []
    for number in range(ROUNDS):
        started_at = time.monotonic()
        if trouble:
            first = number * ROLLED
            machines = [
                world.fronts[(first + index) % len(world.fronts)]
                for index in range(ROLLED)
            ]
            tasks.append(asyncio.create_task(roll(world, machines)))
        while time.monotonic() - started_at < STORM_S:
            next_at = time.monotonic() + GAP_S
            version += 2
            ports.append(FIRST_PORT + version)
            await operator.put(config(version, ports))
            for user in users:
                for _ in range(2):
                    tasks.append(asyncio.create_task(user.use(ports[-1])))
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
        left_s = started_at + ROUND_S - time.monotonic()
        await asyncio.sleep(max(0.0, left_s))
    await asyncio.gather(*tasks)
    checks.cancel()
    world.record.write("flows", count=sum(user.flows for user in users))
    return [line for user in users for line in user.breaks]


if __name__ == "__main__":
    standins.main(play, FOLDER)

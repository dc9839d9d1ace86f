"""A heartbeat for an unknown service ends a working endpoint.

Another writer's heartbeat names a service that no configuration names, and
the address of an endpoint. Rule FLOW.
"""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

CALM_S = 6.0
WATCH_S = 12.0


class User:
    """Keeps a flow open and sends a request on it now and then."""

    def __init__(self, client, number):
        self._client = client
        self._number = number
        self._sent = 0
        self.resets = []
        self.unanswered = []

    async def run(self, until, endpoints):
        """Send requests until a time; note resets by the system."""
        record = self._client.world.record
        while time.monotonic() < until:
            flow = standins.Flow(self._client, standins.HOST, 8080)
            if not await flow.open():
                record.write("not opened", by=flow.reset_by)
                flow.close()
                await asyncio.sleep(0.3)
                continue
            while time.monotonic() < until and not flow.reset_by:
                self._sent += 1
                id_ = f"{self._client.zone}-{self._number}-{self._sent}"
                record.write("sent", id=id_, flow=flow.sport)
                answer = await flow.request(id_, "POST")
                record.write("answered", id=id_, answer=str(answer)[-60:])
                if answer is None and time.monotonic() < until:
                    self.unanswered.append(id_)
                await asyncio.sleep(0.25)
            if flow.reset_by == "system":
                holders = [
                    one.id
                    for one in endpoints
                    if one.alive_since is not None
                    and time.monotonic() - one.alive_since > CALM_S
                    and one.has_open(self._client.address, flow.sport)
                ]
                record.write("reset by the system", held_by=holders)
                if holders:
                    self.resets.append(
                        f"flow of {self._client.address}:{flow.sport}, open "
                        f"at {holders[0]}, reset by the system after "
                        f"{flow.reset_at - flow.opened_at:.1f} s"
                    )
            flow.close()


async def send_foreign_heartbeat(world, endpoint):
    """Announce an unknown service at an endpoint's address, once."""
    body = {
        "service": "node-agent",
        "address": f"{endpoint.address}:{standins.ENDPOINT_PORT}",
        "zone": endpoint.zone,
        "version": "v1",
        "concurrency": 1,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": 1,
        "born": int(time.time() * 1000),
    }
    path = "/v1/Instances.Heartbeat/agent-1f"
    machine = world.cores[0]
    answer = await standins.call(
        machine.address,
        standins.CONTROL_PORT,
        "POST",
        path,
        json.dumps(body).encode(),
    )
    status = answer[0] if answer is not None else None
    world.record.write("foreign heartbeat", body=body, status=status)


async def play(world, trouble):
    """Return the breaks of FLOW."""
    world.start_machines()
    router = standins.Router(world)
    checks = asyncio.create_task(router.run())
    operator = standins.Operator(world)
    await operator.put(
        standins.document(
            3,
            [
                standins.route("r-desk", 8080, "unsafe", "desk"),
                standins.route("r-store", 8443, "download", "store"),
            ],
            ["desk", "store"],
        )
    )
    await standins.wait_for_readiness(world, router)
    await asyncio.sleep(4.0)
    endpoints = []
    for service, count in (("desk", 7), ("store", 4)):
        for number in range(count):
            zone = standins.ZONES[number % len(standins.ZONES)]
            address = world.new_address(5)
            endpoint = standins.Endpoint(world, service, zone, address)
            await endpoint.start()
            endpoints.append(endpoint)
    endpoint = endpoints[0]
    await asyncio.sleep(CALM_S + 1.0)

    until = time.monotonic() + WATCH_S
    users = []
    for zone in standins.ZONES:
        client = standins.Client(world, router, zone)
        await client.start()
        users += [User(client, number) for number in range(10)]
    tasks = [asyncio.create_task(user.run(until, endpoints)) for user in users]
    await asyncio.sleep(3.0)

    if trouble:
        await send_foreign_heartbeat(world, endpoint)
    await asyncio.gather(*tasks)
    checks.cancel()
    unanswered = {id_ for user in users for id_ in user.unanswered}
    ran = {
        id_ for one in endpoints for _, id_, _ in one.ran if id_ in unanswered
    }
    world.record.write(
        "requests without an answer", count=len(unanswered), ran=len(ran)
    )
    return [reset for user in users for reset in user.resets]


if __name__ == "__main__":
    standins.main(play, FOLDER)

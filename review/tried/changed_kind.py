"""ROUTE. A minion crashes and is back 0.15 s later under its id as one of another kind (PROTOCOL.md: "A new incarnation may be of
a different kind, even at the same address"); its entry follows 0.8 s later ([discovery] lag_ms of the site file)."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import standin  # noqa: E402


async def play(site, trouble):
    for number in range(1, 9):
        await site.add_minion(f"m{number}", "desk", cpu=4000)
    site.configure(7, [("desk", "desk")], ["desk"])
    for number in range(1, 4):
        site.add_node(number)
    await site.wait_ready()
    await site.wait_for("an owner of the pool", lambda: site.owner("desk"), 15)
    await asyncio.sleep(4)
    clients = standin.Clients(site)
    step = {"count": 6, "cpu": 1900, "requestedMemoryMb": 512, "estimatedMs": 700, "requirements": "a"}

    async def traffic():
        for _ in range(20):
            asyncio.ensure_future(clients.submit("desk", {"specification": "700 x", "steps": [step]}))
            await asyncio.sleep(0.4)

    sending = asyncio.ensure_future(traffic())
    await asyncio.sleep(2)
    if trouble:
        minion = site.minions["m1"]
        minion.crash()
        minion.kind = "b"
        await asyncio.sleep(0.15)
        await minion.start(0.8)
    await sending
    await asyncio.sleep(4)
    return [f"ROUTE: {run['task']} requires a and was started on {run['minion']}, which is of kind {run['kind']}"
            for run in site.runs if run["kind"] == "b"]


standin.case(HERE, play)

"""KNOWN-RED.txt, random-schedules-restarts-seed-8, on real processes (TWICE). A minion's idle poll gets no answer and is carried
out 2.05 s later (applied_late: 2 to 12 s). Meanwhile the minion crashes, silently, and is back 0.2 s later under its id; its entry
follows 0.8 s after that ([discovery] lag_ms of the site file). What it ran and ended by then is forgotten by the late poll."""

import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import standin  # noqa: E402


def job(count):
    step = {"count": count, "cpu": 1900, "requestedMemoryMb": 512, "estimatedMs": 400}
    return {"specification": "400 x", "steps": [step]}


async def play(site, trouble):
    for number in range(1, 4):
        await site.add_minion(f"m{number}", "desk", cpu=4000)
    site.configure(7, [("desk", "desk")], ["desk"])
    for number in range(1, 4):
        site.add_node(number)
    await site.wait_ready()
    await site.wait_for("an owner of the pool", lambda: site.owner("desk"), 15)
    await asyncio.sleep(4)
    clients = standin.Clients(site)
    for _ in range(4):
        await clients.submit("desk", job(6))
        await asyncio.sleep(1.2)
    await asyncio.sleep(2)
    minion, answer, taken = site.minions["m1"], site.minions["m1"].answer, asyncio.Event()

    async def carry_out_late(body):
        await asyncio.sleep(2.05)
        before = list(minion.ended)
        order = {name: value for name, value in json.loads(body).items() if name != "waitMs"}
        await answer("/hold", {}, json.dumps(order).encode())
        site.record(f"the late poll is carried out: ends listed before {before}, after {minion.ended}")

    async def late(path, headers, body):
        if path == "/hold" and not taken.is_set():
            taken.set()
            site.record(f"a poll is left unanswered: {body.decode()}")
            asyncio.ensure_future(carry_out_late(body))
            await asyncio.sleep(3600)
        return await answer(path, headers, body)

    if trouble:
        minion.answer = late
        await asyncio.wait_for(taken.wait(), 5)
        await asyncio.sleep(0.1)

        async def never(*_):
            await asyncio.sleep(3600)

        # A loss of power: open connections fall silent.
        minion.http.handle, minion.http.writers, minion.http.tasks = never, set(), set()
        minion.crash()
        await asyncio.sleep(0.2)
        await minion.start(0.8)
        await asyncio.sleep(0.2)
    await clients.submit("desk", job(6))
    await asyncio.sleep(8)
    broken = []
    for first in site.runs:
        for second in site.runs:
            if first["task"] == second["task"] and first["how"] == "done" and second["at"] > first["end"]:
                broken.append(f"TWICE: task {first['task']} ended done on {first['minion']} at {first['end']:.2f} s, that end was "
                              f"taken note of, and it started on {second['minion']} at {second['at']:.2f} s")
    return broken


standin.case(HERE, play)

"""A minion crashes and is back 1.5 s later under its id. Some seconds later it is cut off from the machines and runs on,
and the process that owns its service's pool gets SIGTERM. No task may run on two minions at the same time."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import standin  # noqa: E402

DOWN_S = 1.5  # the pages allow 4.5
CUT_S = 3.0  # the pages allow 5.5


def job():
    step = {"count": 3, "cpu": 1000, "requestedMemoryMb": 512, "estimatedMs": 4000}
    return {"specification": "4000 x", "steps": [step]}


async def play(site, trouble):
    # Eight minions, four a rack, with room for four tasks each.
    for number in range(1, 9):
        await site.add_minion(f"m{number}", "desk", rack=f"r{(number + 3) // 4}", cpu=4000)
    site.configure(7, [("desk", "desk")], ["desk"])
    for number in range(1, 4):
        site.add_node(number)
    await site.wait_ready()
    await site.wait_for("an owner of the pool", lambda: site.owner("desk"), 15)
    await asyncio.sleep(4)
    while site.owner("desk") == site.owner(".hosts"):
        # The process that keeps the list of machines goes on in this case; another one owns the pool.
        name = site.owner("desk")
        site.kill_node(name, signal.SIGTERM)
        await site.wait_for("the end of the process", lambda: site.nodes[name]["process"].poll() is not None, 6)
        site.start_node(name)
        await asyncio.sleep(4)
    clients = standin.Clients(site)
    minion = site.minions["m1"]
    if trouble:
        minion.crash()
        await asyncio.sleep(DOWN_S)
        await minion.start()
    await asyncio.sleep(1)
    for _ in range(8):
        await clients.submit("desk", job())
    await asyncio.sleep(0.6)
    await site.wait_for("a task on the minion", lambda: minion.running, 3)
    site.record(f"{minion.id} runs {sorted(minion.running)}")
    if trouble:
        minion.cut = True
        site.record(f"{minion.id} is cut off and runs on")
        await asyncio.sleep(0.2)
        owner = site.owner("desk")
        site.kill_node(owner, signal.SIGTERM)
        await asyncio.sleep(CUT_S - 0.2)
        minion.cut = False
        site.record(f"{minion.id} is reached again")
        ended = site.nodes[owner]["process"]
        await site.wait_for("the end of the process", lambda: ended.poll() is not None, 6)
        site.start_node(owner)
    await asyncio.sleep(14)
    broken = []
    for first in site.runs:
        for second in site.runs:
            same = first is not second and first["task"] == second["task"]
            if same and first["at"] <= second["at"] and (first["end"] is None or second["at"] < first["end"]):
                end = min(run["end"] or site.record.now() for run in (first, second))
                broken.append(
                    f"TWICE: task {first['task']} ran as run {first['run']} on {first['minion']} and as run {second['run']} "
                    f"on {second['minion']} for {end - second['at']:.1f} s at the same time; they ended "
                    f"{first['how']} and {second['how']}")
    states = {}
    for name in clients.jobs:
        state = await clients.state(name)
        states[state] = states.get(state, 0) + 1
    site.record(f"states at the end: {states}")
    print(f"states at the end: {states}")
    return broken


standin.case(HERE, play)

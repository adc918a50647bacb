"""LIMIT. The first order for an upkeep of a wave gets no answer and is carried out 2.5 s later (applied_late, cloud: 2 to 12 s);
the process that gave it is killed (node_kill, leader). The next one orders another machine first, and the late order takes a
second one down although the wave allows one."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import standin  # noqa: E402


async def play(site, trouble):
    for number in range(1, 9):
        await site.add_minion(f"m{number}", "desk")
    site.configure(7, [("desk", "desk")], ["desk"])
    held, broken = [], []

    async def upkeep(order, headers):
        if trouble and not held:
            held.append(order["machine"])
            site.record(f"the order for an upkeep of {order['machine']} gets no answer")

            async def late():
                await asyncio.sleep(2.5)
                site.record(f"it is carried out: {site.begin_upkeep(order, headers)}")

            asyncio.ensure_future(late())
            return None
        held.append(order["machine"])
        return site.begin_upkeep(order, headers)

    def begun(machine):
        down = sorted(name for name, entry in site.machines.items() if entry["upkeep"])
        if len(down) > 1:
            broken.append(f"LIMIT: the upkeep of {machine} begins, and {down} are down for a wave that allows one")

    site.upkeep, site.upkeep_begun = upkeep, begun
    for number in range(1, 4):
        site.add_node(number)
    await site.wait_ready()
    await site.wait_for("an owner of the pool", lambda: site.owner("desk"), 15)
    await site.wait_for("an owner of the machines", lambda: site.owner(".hosts"), 15)
    await asyncio.sleep(4)
    clients = standin.Clients(site)
    step = {"count": 1, "cpu": 1900, "requestedMemoryMb": 512, "estimatedMs": 1500}
    await clients.submit("desk", {"specification": "1500 x", "steps": [step]})
    await asyncio.sleep(0.3)
    busy = next(machine for machine, minion in site.minions.items() if minion.running)
    others = [machine for machine in site.machines if machine != busy]
    site.store.put("op", "wave/1", {"wave": 1, "machines": [busy] + others[:4], "durationS": 30, "maxCount": 1})
    await site.wait_for("an order", lambda: held, 10)
    if trouble:
        await asyncio.sleep(0.3)
        site.kill_node(site.owner(".hosts"))
    await asyncio.sleep(14)
    return broken


standin.case(HERE, play)

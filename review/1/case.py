"""TWICE: more than 500 ends wait for the first hold after a change of primary."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, PREFIX = "kassa.example", "/debitering/"
# The widest step of the site has 84 tasks; 24 such jobs come at once.
JOBS, WIDTH = 24, 84
IDS = [f"{0xa100 + number:016x}" for number in range(JOBS)]
TASKS = JOBS * WIDTH
# A worker of the small site: 16 cores and 64 GB. One task asks for a hundredth of a core.
CAPACITY = {"cpu": 16000, "memMb": 65536, "gpus": 0}
STAGE = {"count": WIDTH, "cpu": 10, "memMb": 10, "estRuntimeMs": 3000}
RUNTIME_MS, SPREAD_MS = 2500, 600
# All processes of the core are killed at the first end `done`, and return this much later.
DOWN_S = 0.9


def runtime_ms(task, _run):
    """Between 2.5 s and 3.1 s, spread evenly over the tasks."""
    job, _, _, index = task.split(".")
    number = IDS.index(job) * WIDTH + int(index)
    return RUNTIME_MS + SPREAD_MS * ((number * 7919) % TASKS) / TASKS


async def case(record, system):
    platform = standins.Platform(record, system.platform_address(), linger_s=5.0)
    for number, rack in ((1, "r-1"), (2, "r-1")):
        worker = standins.Worker(record, f"i-{number}", "medlemsreg", system.worker_address(number), CAPACITY,
                                 ["a", rack], runtime_ms)
        worker.demands = {f"{job}.0": STAGE for job in IDS}
        platform.workers.append(worker)
        await worker.serve()
    await platform.serve()
    for node in system.control:
        system.start(node, bootstrap=True)
    for node in system.data:
        system.start(node, bootstrap=True)
    await system.primary()
    await system.configure(standins.configuration(3, {(HOST, PREFIX): ("medlemsreg", 1, 4)}))
    await asyncio.sleep(2.0)
    await asyncio.gather(*(system.submit(HOST, PREFIX + job, {"spec": "charge the members", "stages": [STAGE]})
                           for job in IDS))
    accepted = record.now()

    def started():
        return sum(1 for worker in platform.workers for event in worker.history if event[0] == "start")
    while started() < TASKS and record.now() < accepted + 20:
        await asyncio.sleep(0.02)
    ended = sum(worker.last_end for worker in platform.workers)
    record.say(f"{started()} starts {record.now() - accepted:.2f} s after the jobs were accepted, {ended} ends so far")
    if TROUBLE:
        while not any(worker.done_ends for worker in platform.workers) and record.now() < accepted + 20:
            await asyncio.sleep(0.005)
        for node in system.control:
            system.kill(node)
        await asyncio.sleep(DOWN_S)
        for node in system.control:
            system.start(node)
    until = record.now() + 40
    open_jobs, states = set(IDS), {}
    while record.now() < until and open_jobs:
        await asyncio.sleep(0.5)
        for job in sorted(open_jobs):
            states[job] = await system.state(HOST, PREFIX + job)
            if states[job] in ("succeeded", "failed", "cancelled", "410"):
                open_jobs.discard(job)
    record.say(f"the jobs are shown as {sorted(set(states.values()), key=str)}")
    await asyncio.sleep(6.0)  # what runs still ends, and is taken note of
    record.say(f"{started()} starts of {TASKS} tasks; processes that ended by themselves:"
               f" {system.unexpected_ends()}")
    if set(states.values()) != {"succeeded"}:
        raise standins.CannotRun("the jobs did not come to their ends in time")
    return standins.twice(record, platform.workers)


standins.run_case(case, os.path.join(HERE, "record.txt"))

"""A change of the configuration splits a route, and a machine with streams that began before is killed."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SPLIT = os.environ.get("SPLIT", "1") != "0"
SERVICE, OTHER_SERVICE, MODEL = "huvo11a", "wuno96b", "daka510000"
HOST, PREFIX = "ficu95.example", "/pufi791/"
ROUTE = {"name": "r-contrato", "host": HOST, "pathPrefix": PREFIX, "kind": "streaming", "timeoutMs": 25000,
         "targetLatencyMs": 2500, "priority": 1, "service": SERVICE, "maxAttempts": 2, "stickySessions": True,
         "resumable": True, "gapTargetMs": 300}
# A client abandons a stream after two seconds, four times the objective or eight times the pause.
MAX_GAP_S = max(2.0, 4 * 2.5, 8 * 0.3)
DEADLINE_S = 25.0
# 150 events of 4 tokens, the largest answer of the sheet, on busy runners.
EVENTS, EVENT_GAP_S = 150, 0.1
STREAMS = 16
CONFIG_APPLY_S = 2.0


def configuration(version, split):
    """The route to one service, or split over two."""
    route = dict(ROUTE)
    if split:
        del route["service"]
        route["trafficSplit"] = [{"service": SERVICE, "weight": 90}, {"service": OTHER_SERVICE, "weight": 10}]
    document = standins.document(version, SERVICE, [MODEL], route)
    document["services"].append({**document["services"][0], "name": OTHER_SERVICE})
    return document


async def case(record):
    machines = standins.Machines(record)
    runners = []
    try:
        for number, ip in enumerate(machines.voters):
            machines.start("voter", ip, standins.ZONES[number % 3])
        routers = [f"{machines.net}.{11 + n}" for n in range(8)]
        for number, ip in enumerate(routers):
            machines.start("router", ip, standins.ZONES[number % 3])
        lost, others = routers[0], routers[1:]
        operator = standins.Operator(record, machines.voters)
        await operator.put(configuration(7, False))
        for number in range(6):
            service = SERVICE if number < 4 else OTHER_SERVICE
            runner = standins.Runner(
                record, machines.voters, f"{machines.net}.{31 + number}", f"i-7f3a91c{number}", service,
                standins.ZONES[number % 3], "v1", [MODEL], [MODEL], EVENTS, EVENT_GAP_S)
            runners.append(runner)
            await runner.start()
        await standins.wait_until_ready(routers)
        await asyncio.sleep(5)

        clients = f"{machines.net}.60"
        streams = [standins.Stream(number, MODEL, HOST, PREFIX + "2f") for number in range(STREAMS)]
        tasks = [asyncio.create_task(follow(record, stream, lost, others, clients)) for stream in streams]
        await asyncio.sleep(2)
        if any(stream.events == 0 for stream in streams):
            raise standins.CannotRun("a stream did not begin")
        await operator.put(configuration(11, SPLIT))
        await asyncio.sleep(CONFIG_APPLY_S + 1)
        if TROUBLE:
            record.line(f"the machine {lost} is killed")
            machines.kill(lost)
            await asyncio.sleep(0.5)
            machines.start("router", lost, standins.ZONES[0])
        fresh = [standins.Stream(100 + number, MODEL, HOST, PREFIX + "2f") for number in range(STREAMS)]
        begun = await asyncio.gather(*(begin(record, stream, others, clients) for stream in fresh))
        await asyncio.gather(*tasks)
        return judge(record, streams, sum(begun))
    finally:
        machines.end()
        for runner in runners:
            runner.stop()


async def begin(record, stream, routers, clients):
    """Whether a new stream begins at its first try."""
    await asyncio.sleep(random.uniform(0, 4))
    deadline = time.monotonic() + DEADLINE_S
    task = asyncio.create_task(stream.attempt(record, random.choice(routers), deadline, MAX_GAP_S, clients))
    await asyncio.wait([task], timeout=2.5)
    task.cancel()
    return stream.events > 0


async def follow(record, stream, first, others, clients):
    """A client: it takes a stream that was broken off or fell silent up again at another machine, and comes back as
    it is told, a few times."""
    deadline = time.monotonic() + DEADLINE_S
    how = await stream.attempt(record, first, deadline, MAX_GAP_S, clients)
    for _ in range(3):
        if how == "complete" or time.monotonic() + 0.5 > deadline or not stream.events:
            return
        stream.taken_up = True
        before = stream.events
        how = await stream.attempt(record, random.choice(others), deadline, MAX_GAP_S, clients)
        stream.went_on |= stream.events > before or stream.complete
        pause_s = min(stream.retry_after_s, (deadline - time.monotonic()) / 3) if how == "refused" else 0.2
        await asyncio.sleep(max(pause_s, 0))


def judge(record, streams, begun):
    """LOST of the fourth addition: of 12 or more streams that clients take up again at machines in touch, while two
    runners of their version serve, the share that goes on is under half of the share of new streams that begin."""
    taken_up = [stream for stream in streams if stream.taken_up]
    went_on = [stream for stream in taken_up if stream.went_on]
    record.line(f"streams: {len(streams)}, complete {sum(s.complete for s in streams)}, taken up {len(taken_up)}, "
                f"went on {len(went_on)}; new streams that began: {begun} of {STREAMS}")
    if begun < STREAMS / 2:
        raise standins.CannotRun("new streams did not begin")
    if len(taken_up) < 12:
        return False
    return len(went_on) / len(taken_up) < 0.5 * begun / STREAMS


standins.main(case, FOLDER)

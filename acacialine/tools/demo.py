"""Runs a whole installation in one process and submits one job to it."""

import click
import httpcore
import msgspec
import trio

from acacialine import log
from acacialine.tools import layout as layout_lib
from acacialine.tools import local as local_lib

TOKEN = "baekdu-demo-token"
SERVE_PORT = 7100
PASSES = ("Hangyeryeong", "Misiryeong", "Jinburyeong", "Daegwallyeong")


def job_body() -> bytes:
    """Returns a job of 40 tasks: 30 gate checks, 9 reroute plans, 1 alert."""
    tasks = []
    for number in range(30):
        payload = {
            "pass": PASSES[number % len(PASSES)],
            "gate": number,
            "cause": "ice" if number % 3 else "snow",
            "run_ms": 60 + 2 * number,
        }
        tasks.append({"kind": "gate-check", "payload": payload})
    for number in range(9):
        payload = {
            "bus": f"Gangwon-{100 + number}",
            "closed": PASSES[number % len(PASSES)],
            "run_ms": 200 + 20 * number,
        }
        tasks.append({"kind": "reroute-plan", "payload": payload})
    alert = {"inns": ["Seorak", "Odae"], "text": "Misiryeong closed: snow"}
    tasks.append({"kind": "member-alert", "payload": alert})
    return msgspec.json.encode({"deadline_ms": 10000, "tasks": tasks})


def _layout(serve: bool) -> layout_lib.Layout:
    layout = layout_lib.new_layout(["gangwon-a", "gangwon-b"], [3, 1], [4, 2])
    if serve:
        first = layout.entries[0]
        layout.entries[0] = layout_lib.EntryPlan(
            first.name,
            first.zone,
            ("127.0.0.1", SERVE_PORT),
            first.peer,
            first.admin,
        )
    return layout


async def run(serve: bool) -> None:
    """Submits a job and prints its results; with `serve`, only serves."""
    layout = _layout(serve)
    async with local_lib.running(layout) as local:
        text = (local_lib.EXAMPLES_DIR / "baekdu.ini").read_text()
        local.publish("baekdu", text)
        await local.wait_ready()
        if serve:
            click.echo(f"serving on 127.0.0.1:{SERVE_PORT}; Ctrl-C stops")
            await trio.sleep_forever()
        await _submit(layout.entries[0])


async def _submit(plan: layout_lib.EntryPlan) -> None:
    url = f"http://{layout_lib.format_address(plan.caller)}/v1/jobs"
    headers = {"Authorization": f"Bearer {TOKEN}"}
    async with httpcore.AsyncConnectionPool(retries=0) as pool:
        response = await pool.request(
            "POST", url, headers=headers, content=job_body()
        )
    answer = msgspec.json.decode(response.content)
    click.echo(f"status {response.status}, outcome {answer['outcome']}")
    for result in answer.get("results", []):
        done = result["result"]
        click.echo(
            f"  task {result['index']:2d} {done['kind']:13s} by {done['by']}"
        )
    if response.status != 200 or len(answer["results"]) != 40:
        raise click.ClickException(f"the job did not complete: {answer}")


def main(serve: bool) -> None:
    """Entry point of `acacialine demo`."""
    log.configure_logging()
    try:
        trio.run(run, serve)
    except* KeyboardInterrupt:
        click.echo("stopped")

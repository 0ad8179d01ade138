"""Run a whole deployment on this machine, to try it out.

Starts the stand-in platform, engines with a sidecar each, plain services
with a sidecar each, and gateways, all as processes of their own; publishes a
manifest; prints a line to paste. SIGINT or SIGTERM stops them in the order
in which a deployment drains. The exit code is 0 if all of them exited 0.
"""

import argparse
import asyncio
import contextlib
import json
import pathlib
import signal
import sys
import tempfile

import aiohttp

from berylhollow import log_service
from berylhollow import outgoing
from tools import local_deployment

READY_TIMEOUT_S = 30
POLL_S = 0.05
LOG_TAIL_LINES = 5
LONGEST_LINE = 400


class StartError(Exception):
    """A process of the deployment did not start or ended by itself."""


class Child:
    """A process of the deployment and the file that it logs to."""

    def __init__(
        self,
        member: local_deployment.Member,
        folder: pathlib.Path,
        logs: pathlib.Path,
    ):
        self.member = member
        self.settings_path = folder / f'{member.name}.jsonc'
        self.log_path = logs / f'{member.name}.log'
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        self.settings_path.write_text(json.dumps(self.member.settings))
        with self.log_path.open('wb') as log:
            # In a session of its own a Ctrl-C at the terminal reaches this
            # tool only, which then stops its children in order.
            self.process = await asyncio.create_subprocess_exec(
                *program(),
                *self.member.command,
                '--settings',
                str(self.settings_path),
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    async def wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until it answers; ``StartError`` if it ends or is late."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await self.is_ready(session):
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            raise StartError(self.describe('is not ready')) from None

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        if self.process.returncode is not None:
            raise StartError(self.describe('has ended'))
        if not self.member.ready_url:
            return True
        with contextlib.suppress(outgoing.CallError):
            await outgoing.call(session, 'GET', self.member.ready_url)
            return True
        return False

    def describe(self, what: str) -> str:
        lines = self.log_path.read_text(errors='replace').splitlines()
        last = [line[:LONGEST_LINE] for line in lines[-LOG_TAIL_LINES:]]
        tail = '\n    '.join(last)
        return f'{self.member.name} {what}; it logged\n    {tail}'

    def terminate(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.terminate()


def program() -> tuple[str, ...]:
    """Return the words that run the program with this interpreter."""
    return (sys.executable, '-m', 'berylhollow')


class Deployment:
    """All children, in the order in which they start."""

    def __init__(self, folder: pathlib.Path, logs: pathlib.Path):
        self.folder = folder
        self.groups = [
            [Child(member, folder, logs) for member in group]
            for group in local_deployment.groups()
        ]
        self.children = [child for group in self.groups for child in group]

    async def start(self) -> None:
        """Start group after group, each when the one before is ready."""
        session = outgoing.open_session()
        async with session:
            for group in self.groups:
                for child in group:
                    await child.start()
                if group is self.groups[-1]:
                    await self.publish()
                for child in group:
                    await child.wait_ready(session)
            await self.wait_answer(session)

    async def wait_answer(self, session: aiohttp.ClientSession) -> None:
        """Wait until each gateway answers a request for an adapter."""
        for url in local_deployment.GATEWAY_URLS:
            for call in local_deployment.trial_calls():
                await self.wait_call(session, url, call)

    async def wait_call(
        self,
        session: aiohttp.ClientSession,
        url: str,
        call: local_deployment.Call,
    ) -> None:
        error: Exception | None = None
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while True:
                    try:
                        await outgoing.call(
                            session,
                            call.method,
                            url + call.path,
                            json=call.value,
                        )
                        return
                    except outgoing.CallError as failure:
                        error = failure
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            raise StartError(f'{url}{call.path}: {error}') from None

    async def publish(self) -> None:
        """Fill the instance list and publish the manifest."""
        client = log_service.InstanceClient(local_deployment.PLATFORM_URL)
        try:
            for instance in local_deployment.instances():
                await client.put(instance)
        finally:
            await client.close()
        path = self.folder / 'manifest.jsonc'
        path.write_text(json.dumps(local_deployment.manifest(), indent=2))
        await self.run_command(*local_deployment.publish_command(str(path)))

    async def run_command(self, *words: str) -> None:
        process = await asyncio.create_subprocess_exec(
            *program(),
            *words,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        if process.returncode != 0:
            text = output.decode(errors='replace')
            raise StartError(f'{" ".join(words)}: {text}')

    async def wait_end(self) -> None:
        """Wait for the first child that ends by itself."""
        waits = [
            asyncio.create_task(child.process.wait())
            for child in self.children
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)

    async def stop(self) -> int:
        """Drain the groups, last started first; return the exit code."""
        worst = 0
        for group in reversed(self.groups):
            for child in group:
                child.terminate()
            for child in group:
                worst = max(worst, await self.exit_code(child))
        return worst

    async def exit_code(self, child: Child) -> int:
        if child.process is None:
            return 0
        code = await child.process.wait()
        if code != 0:
            print(child.describe(f'exited {code}'), file=sys.stderr)
        return int(code != 0)


async def run(folder: pathlib.Path, logs: pathlib.Path, once: bool) -> int:
    """Run the deployment until a signal; return the exit code."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopping.set)
    deployment = Deployment(folder, logs)
    failed = 0
    work = asyncio.create_task(serve(deployment, once))
    stop = asyncio.create_task(stopping.wait())
    await asyncio.wait((work, stop), return_when=asyncio.FIRST_COMPLETED)
    stop.cancel()
    if work.done():
        try:
            work.result()
        except StartError as error:
            print(error, file=sys.stderr)
            failed = 1
    else:
        work.cancel()
        await asyncio.wait((work,))
    print('stopping', flush=True)
    failed = max(failed, await deployment.stop())
    count = len(deployment.children)
    print(f'run: {count} processes, {"failed" if failed else "stopped"}')
    return failed


async def serve(deployment: Deployment, once: bool) -> None:
    await deployment.start()
    print(local_deployment.GREETING, flush=True)
    if once:
        return
    await deployment.wait_end()
    for child in deployment.children:
        if child.process.returncode is not None:
            raise StartError(child.describe('has ended'))


def main() -> int:
    parser = argparse.ArgumentParser(
        prog='python -m tools.run_local', description=__doc__.split('\n')[0]
    )
    parser.add_argument(
        '--once', action='store_true', help='stop as soon as all is ready'
    )
    parser.add_argument(
        '--logs',
        metavar='FOLDER',
        type=pathlib.Path,
        help='keep the logs of the processes there, a file each',
    )
    arguments = parser.parse_args()
    if arguments.logs is not None:
        arguments.logs.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(prefix='berylhollow-') as folder:
        settings = pathlib.Path(folder)
        logs = arguments.logs or settings
        return asyncio.run(run(settings, logs, arguments.once))


if __name__ == '__main__':
    sys.exit(main())

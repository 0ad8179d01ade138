"""HTTP answers that arrive slowly, for tests of time limits."""

import asyncio

from aiohttp import web

PIECES = 6
PIECE_PAUSE_S = 0.25


async def send_in_pieces(request, body, may_go_on=None):
    """Answer with a body in ``PIECES`` pieces, a pause before each.

    After each piece the event ``may_go_on`` is waited for, if there is one.
    """
    response = web.StreamResponse(headers={'Content-Length': str(len(body))})
    await response.prepare(request)
    size = len(body) // PIECES + 1
    for start in range(0, len(body), size):
        await asyncio.sleep(PIECE_PAUSE_S)
        await response.write(body[start : start + size])
        if may_go_on is not None:
            await may_go_on.wait()
    return response

"""Upstreams that say in their answers that they leave.

A portal server had begun to leave, and said so in each answer; the store, which tells
the nodes that an upstream leaves, was silent at that moment and for 13 s more.  The
nodes read nothing of an answer but whose it was, so they went on sending to the server,
79 of the portal's 156 requests in those 12 s, until the store was back.  Requests sent
to a server that ends are cut off with it.

What settled it: the two requests that were looked at had been sent once each, 2.0 and
2.3 s after an answer of that server had gone out through the same node, so no repeat
and no older choice carried them there; and at none of the eight nodes any line told of
a change of what they believed of the server, so the word had not been undone but never
been taken in:

    event=store_lost reason="/kv-range: TimeoutError()"
    event=request_ended outcome="200 after 1 sends" version_age=2.9
"""

from tests.base import TestCase
from tests.platform.deployment import running
from tests.platform.world import call


class Told(TestCase):
    async def test_nothing_more_is_sent_there_while_the_store_is_away(self):
        async with running() as world:
            gateway = await world.ready_gateway()
            world.store.silent = True
            leaving = (world.plain[0], world.engines[0])
            for server in leaving:
                server.leaving = True
            for path in ("/bill/x", "/talk/x"):
                for _ in range(12):
                    found = await call(gateway.settings.front, path)
                    self.assertEqual((200, True), (found.status, found.whole))
            for server in leaving:
                self.assertLessEqual(len(server.arrivals), 1)

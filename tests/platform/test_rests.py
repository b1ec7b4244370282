"""Upstreams that turn requests away and ask for some seconds without any.

One of three portal servers turned all away for 9 s, and asked each node for 3 s of
rest. The nodes read no more of that than that the request had not run, and remembered
it for that request alone.  The next request began anew; and since a server that turns
all away has nothing under way, it looked the least loaded of the three.  So it got 138
requests first in those 9 s, where its two siblings together served 144, and each cost
its caller a detour and the service a repeat, which are bounded.

What settled it: each of the sixteen requests that two nodes sent there within the 3 s
was another one, was turned away within 2 to 8 ms, and was served by a sibling right
after, so the nodes had somewhere else to go and sent none of them there twice:

    event=attempt_ended outcome=rejected reason="" elapsed=0.00231526
    event=request_ended outcome="200 after 2 sends" elapsed=0.0435176
"""

from tests.base import TestCase
from tests.platform.deployment import running
from tests.platform.world import call

MOST_IN_A_REST = 2
"""Requests that an upstream bears from one node in the time that it asked for."""


class Asked(TestCase):
    async def test_a_resting_upstream_is_left_alone_by_all_that_follows(self):
        async with running() as world:
            gateway = await world.ready_gateway()
            resting = (world.plain[0], world.engines[0])
            for server in resting:
                server.rest = "30"
            for path in ("/bill/x", "/talk/x"):
                for _ in range(30):
                    found = await call(gateway.settings.front, path)
                    self.assertEqual((200, True), (found.status, found.whole))
            for server in resting:
                self.assertLessEqual(len(server.arrivals), MOST_IN_A_REST)

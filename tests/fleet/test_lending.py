"""Tests of lending retries between nodes."""

import contextlib
import itertools

import aiohttp
from aiohttp import web

from bankrack.fleet.documents import Member
from bankrack.fleet.lending import LEND_PATH
from bankrack.fleet.lending import Lender
from bankrack.front.listeners import serve_application
from bankrack.serving.budget import RetryBudgetPolicy
from bankrack.serving.budget import SharedRetryBudget
from tests.base import TestCase
from tests.fakes import free_address

TERMS = RetryBudgetPolicy(ratio=0.2, reserve=20, window=10.0)
NODES = 5


class LendingTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0

    def budget(self, terms: RetryBudgetPolicy = TERMS) -> SharedRetryBudget:
        created = SharedRetryBudget(terms, nodes=lambda: NODES, clock=lambda: self.now)
        created._began -= 60.0
        created.earn("s")
        return created

    @contextlib.asynccontextmanager
    async def fleet(self, terms: RetryBudgetPolicy = TERMS):
        """Start nodes that lend each other retries, and yield their budgets."""
        async with contextlib.AsyncExitStack() as stack:
            session = await stack.enter_async_context(aiohttp.ClientSession())
            members = [Member(f"n-{n}", free_address(), "a") for n in range(NODES)]
            self.addresses = [member.address for member in members]
            budgets = []
            for member in members:
                budget = self.budget(terms)
                lender = Lender(session, member, lambda: members, budget)
                budget.set_borrow(lender.borrow)
                application = web.Application()
                application.router.add_post(LEND_PATH, lender.handle)
                runner = await serve_application(application, member.address)
                stack.push_async_callback(runner.cleanup)
                budgets.append(budget)
            yield budgets

    async def test_node_borrows_unused_retries_of_other_nodes(self):
        async with self.fleet() as budgets:
            own_share = int(budgets[0].allowed("s"))
            taken = [await budgets[0].take_or_borrow("s") for _ in range(own_share + 3)]
            self.assertEqual([True] * (own_share + 3), taken)

    async def test_total_of_retries_never_exceeds_budget(self):
        async with self.fleet() as budgets:
            total = 0
            for budget in itertools.islice(itertools.cycle(budgets), 200):
                total += await budget.take_or_borrow("s")
            self.assertLessEqual(total, sum(int(b.allowed("s")) for b in budgets))

    async def test_malformed_amounts_lend_nothing(self):
        for text in ("nan", "inf", "-1.0", "2.0", "much"):

            async def respond(request: web.Request, text: str = text) -> web.Response:
                return web.Response(text=text)

            own, member = (Member(n, free_address(), "a") for n in ("n-0", "n-1"))
            application = web.Application()
            application.router.add_post(LEND_PATH, respond)
            runner = await serve_application(application, member.address)
            async with aiohttp.ClientSession() as session:
                lender = Lender(session, own, lambda m=member: [m], self.budget())
                with self.assertLogs("bankrack") as lines:
                    self.assertFalse(await lender.borrow("s"), text)
                self.assertIn("missing=1", lines.output[-1])
            await runner.cleanup()

    async def test_node_reserves_one_retry_for_itself(self):
        budget = self.budget()
        while budget.lend("s"):
            pass
        self.assertTrue(budget.take("s"))
        self.assertFalse(budget.take("s"))

    async def test_fractional_shares_are_lent(self):
        """Each share of a large fleet is below two retries; one node needs three."""
        terms = RetryBudgetPolicy(ratio=0.0, reserve=2.5 * NODES, window=10.0)
        async with self.fleet(terms) as budgets:
            self.assertLess(budgets[0].allowed("s"), 2.0)
            taken = [await budgets[0].take_or_borrow("s") for _ in range(3)]
            self.assertEqual([True] * 3, taken)
            self.assertEqual([True] * 4, [b.take("s") for b in budgets[1:]])

    async def test_own_fraction_is_kept_if_borrowing_fails(self):
        terms = RetryBudgetPolicy(ratio=0.0, reserve=2.5 * NODES, window=10.0)
        budget = self.budget(terms)

        async def refuse_to_lend(service: str, amount: float) -> bool:
            return False

        budget.set_borrow(refuse_to_lend)
        self.assertTrue(await budget.take_or_borrow("s"))
        self.assertFalse(await budget.take_or_borrow("s"))
        self.assertAlmostEqual(1.0, budget._tally("s").used)

    async def test_malformed_amount_is_rejected(self):
        async with self.fleet(), aiohttp.ClientSession() as session:
            for amount in ("x", "0", "-1", "nan", "2"):
                url = f"http://{self.addresses[0]}{LEND_PATH}"
                query = {"service": "s", "amount": amount}
                async with session.post(url, params=query) as response:
                    self.assertEqual(400, response.status, amount)

    async def test_nothing_is_lent_for_unknown_service(self):
        budget = self.budget()
        self.assertFalse(budget.lend("other"))
        self.assertEqual(["s"], list(budget._tally_by_service))

    async def test_unreachable_members_lend_nothing(self):
        budget = self.budget()
        members = [Member("gone", free_address(), "a")]
        async with aiohttp.ClientSession() as session:
            lender = Lender(session, members[0], lambda: members, budget)
            self.assertFalse(await lender.borrow("s"))
            own = Member("own", free_address(), "a")
            lender = Lender(session, own, lambda: members, budget)
            self.assertFalse(await lender.borrow("s"))

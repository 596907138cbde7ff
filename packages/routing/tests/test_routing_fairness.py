import unittest

from hypothesis import given
from hypothesis import strategies as st

from builders import make_ticket
from slatehoist.routing import FairQueue

MEMBERS = st.sampled_from(["andina", "tejoverde", "third"])


class FairQueueTests(unittest.TestCase):
    def test_backlogged_members_are_served_by_weight(self):
        queue = FairQueue(1000, idle_credit=0.0)
        queue.set_weight("andina", "", 3.0)
        queue.set_weight("tejoverde", "", 1.0)
        for _ in range(200):
            queue.push(make_ticket("andina"), 0.0)
            queue.push(make_ticket("tejoverde"), 0.0)
        served = [queue.pop(0.0)[0].member for _ in range(200)]
        self.assertAlmostEqual(served.count("andina"), 150, delta=2)

    def test_costly_requests_get_no_larger_share_of_tokens(self):
        queue = FairQueue(1000, idle_credit=0.0)
        for _ in range(100):
            queue.push(make_ticket("andina", cost=100.0), 0.0)
            queue.push(make_ticket("tejoverde", cost=10.0), 0.0)
        served = [queue.pop(0.0)[0] for _ in range(100)]
        tokens = {"andina": 0.0, "tejoverde": 0.0}
        for ticket in served:
            tokens[ticket.member] += ticket.cost
        self.assertAlmostEqual(tokens["andina"], tokens["tejoverde"], delta=110)

    def test_idle_member_is_served_next_without_a_burst(self):
        queue = FairQueue(1000, idle_credit=50.0)
        for _ in range(300):
            queue.push(make_ticket("andina"), 0.0)
        for _ in range(200):
            queue.pop(0.0)
        for _ in range(50):
            queue.push(make_ticket("tejoverde"), 0.0)
        served = [queue.pop(0.0)[0].member for _ in range(20)]
        self.assertEqual(served[0], "tejoverde")
        self.assertLess(served.count("tejoverde"), 17)

    def test_full_queue_evicts_from_the_largest_backlog(self):
        queue = FairQueue(10)
        for _ in range(10):
            queue.push(make_ticket("andina"), 0.0)
        evicted = queue.push(make_ticket("tejoverde"), 0.0)
        self.assertEqual([t.member for t in evicted], ["andina"])

    def test_expired_tickets_are_evicted_first(self):
        queue = FairQueue(2)
        queue.push(make_ticket("andina", deadline=1.0), 0.0)
        queue.push(make_ticket("andina", deadline=9.0), 0.0)
        evicted = queue.push(make_ticket("andina", deadline=9.0), 2.0)
        self.assertEqual([t.deadline for t in evicted], [1.0])

    def test_higher_priority_is_served_first_within_a_team(self):
        queue = FairQueue(10)
        queue.push(make_ticket(priority=1), 0.0)
        queue.push(make_ticket(priority=9), 0.0)
        self.assertEqual(queue.pop(0.0)[0].priority, 9)

    @given(
        st.lists(
            st.one_of(
                st.tuples(st.just("push"), MEMBERS, st.floats(1, 100)),
                st.tuples(st.just("pop"), MEMBERS, st.floats(0, 100)),
                st.tuples(st.just("remove"), MEMBERS, st.floats(0, 1)),
            ),
            max_size=60,
        )
    )
    def test_every_ticket_leaves_the_queue_exactly_once(self, actions):
        queue, waiting, out = FairQueue(5), [], []
        for now, (action, member, time_left) in enumerate(actions):
            if action == "push":
                ticket = make_ticket(member, deadline=now + time_left)
                waiting.append(ticket)
                out += queue.push(ticket, float(now))
            elif action == "pop":
                ticket, expired = queue.pop(float(now))
                out += [*expired, *([ticket] if ticket else [])]
            elif waiting and queue.remove(waiting[0]):
                out.append(waiting[0])
            waiting = [t for t in waiting if all(t is not o for o in out)]
        while len(queue):
            ticket, expired = queue.pop(0.0)
            out += [*expired, *([ticket] if ticket else [])]
        pushed = sum(action == "push" for action, _, _ in actions)
        self.assertEqual(len(out), pushed)
        self.assertEqual(len({id(t) for t in out}), pushed)

"""Teams' rate limits, shared by all entries through each team's home entry."""

from collections.abc import Callable

from slatehoist.config import Kind, Replica
from slatehoist.daemon.entry.directory import Directory
from slatehoist.routing import QuotaHolder, QuotaHome, QuotaShare, home_entry
from slatehoist.wire import LinkDownError, decode
from slatehoist.wire.messages import QuotaAnswer, QuotaQuestion

#: Seconds between renewals of the active teams' shares.
RENEW_INTERVAL_S = 0.5
#: Seconds without a request after which a team counts as idle at an entry.
IDLE_S = 30.0
#: Seconds to wait for the answer of a home entry.
ASK_TIMEOUT_S = 0.5


class TeamQuotas:
    """Enforce the rate limits of the teams that are active at one entry.

    The home entry of a team, chosen by rendezvous hashing among the live entries,
    divides the team's rate. An entry that cannot reach the home entry limits the team
    to its last share, which shrinks with each missed renewal.
    """

    def __init__(
        self, replica: Replica, directory: Directory, clock: Callable[[], float]
    ) -> None:
        self._replica = replica
        self._directory = directory
        self._clock = clock
        self._home = QuotaHome()
        self._holders: dict[str, QuotaHolder] = {}
        self._used_at: dict[str, float] = {}

    def acquire(self, team: str) -> float:
        """Admit one request of a team, or return the time to wait.

        Returns
        -------
        float
            0 if the request may run or the team is not declared; otherwise the seconds
            until a request may run.
        """
        spec = self._replica.spec(Kind.TEAM, team)
        if spec is None:
            return 0.0
        now = self._clock()
        self._used_at[team] = now
        holder = self._holders.get(team)
        if holder is None:
            holder = QuotaHolder(spec.rate_per_s, len(self._live_entries()), now)
            self._holders[team] = holder
        return holder.take(now)

    async def renew(self) -> None:
        """Renew the shares of the active teams and drop the idle teams.

        The teams are renewed one after another, so a home entry that does not answer
        delays the teams that follow by up to `ASK_TIMEOUT_S` for each of its own.
        """
        now = self._clock()
        for team in list(self._holders):
            if now - self._used_at[team] > IDLE_S:
                del self._holders[team], self._used_at[team]
                continue
            await self._renew_one(team)

    async def on_question(self, peer: str, body: bytes) -> QuotaAnswer:
        """Grant a share to another entry that asks for one."""
        question = decode(body, QuotaQuestion)
        share = self._grant(question.team, question.entry, question.wanted_per_s)
        return QuotaAnswer(share.rate, share.expires - self._clock())

    async def _renew_one(self, team: str) -> None:
        holder = self._holders[team]
        demand = holder.measure_demand(self._clock())
        me = self._directory.me.name
        home = home_entry(team, self._live_entries())
        if home == me:
            holder.renew(self._grant(team, me, demand), self._clock())
            return
        link = self._directory.entries[home].link
        question = QuotaQuestion(team, me, demand)
        try:
            answer = await link.ask("quota", question, QuotaAnswer, ASK_TIMEOUT_S)
        except LinkDownError:
            return
        now = self._clock()
        holder.renew(QuotaShare(answer.rate_per_s, now + answer.lifetime_s), now)

    def _grant(self, team: str, entry: str, demand: float) -> QuotaShare:
        spec = self._replica.spec(Kind.TEAM, team)
        rate = spec.rate_per_s if spec else 0.0
        return self._home.grant(team, entry, demand, rate, self._clock())

    def _live_entries(self) -> list[str]:
        """Return the names of the live entries, including this one."""
        live = [name for name, peer in self._directory.entries.items() if peer.up]
        return [self._directory.me.name, *live]

"""Check that servers run no more of an account than its quota allows."""

from collections import deque

from tests.soak.const import PLAIN_TOKENS, QUOTA_BOUNDS, QUOTAS


class QuotaCheck:
    """Add up the tokens of each account that servers run, in a sliding window."""

    def __init__(self):
        self._runs = {name: deque() for name in QUOTAS}
        # Runs that were counted and, for a disturbed server, were not.
        self.counted = 0
        self.excused = 0
        # The most that each account ran in a window, as a fraction of what it may.
        self.peaks = dict.fromkeys(QUOTAS, 0.0)

    def record_run(self, attempt, excused, now):
        """Record a run that begins; return the excess in its window, if any."""
        account = attempt.account
        if excused:
            # A disturbed link delivers requests later than the node sent them.
            self.excused += 1
            return ""
        self.counted += 1
        tokens = sum(attempt.tokens) if attempt.kind == "stream" else PLAIN_TOKENS
        window_s = QUOTA_BOUNDS["quota_window_s"]
        runs = self._runs[account]
        runs.append((now, tokens))
        while runs[0][0] < now - window_s:
            runs.popleft()
        rate_s, burst = QUOTAS[account]
        allowed = (rate_s * window_s + burst) * (1 + QUOTA_BOUNDS["quota_overshoot"])
        allowed += QUOTA_BOUNDS["quota_slack"]
        total = sum(tokens for _, tokens in runs)
        self.peaks[account] = max(self.peaks[account], round(total / allowed, 3))
        if total <= allowed:
            return ""
        # The next excess is reported once its runs alone exceed what is allowed.
        runs.clear()
        return f"{account} ran {total} tokens in {window_s} s; allowed {allowed:.0f}"

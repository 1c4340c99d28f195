"""Verdicts on whether a request may have run at a target."""

import enum


class Verdict(enum.Enum):
    """Whether a request can have taken effect at a target."""

    NOT_RUN = 'not-run'
    RAN = 'ran'
    MAY_HAVE_RUN = 'may-have-run'

    @property
    def allows_resend(self) -> bool:
        """Whether a resend cannot make the request run twice."""
        return self is Verdict.NOT_RUN


def merge_verdicts(earlier: Verdict, later: Verdict) -> Verdict:
    """Combine the verdicts of two attempts of one request.

    Args:
        earlier: Combined verdict of all previous attempts.
        later: Verdict of the latest attempt.

    Returns:
        ``RAN`` if any attempt ran, ``NOT_RUN`` only if none can have run.
    """
    if Verdict.RAN in {earlier, later}:
        return Verdict.RAN
    if Verdict.MAY_HAVE_RUN in {earlier, later}:
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN

"""Exceptions of settings and resources."""

from slatehoist.config.findings import Finding


class InvalidError(Exception):
    """Raised for an invalid document; carries all of its findings."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings

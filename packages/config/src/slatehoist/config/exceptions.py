"""Errors of settings and resources."""

from slatehoist.config.findings import Finding


class InvalidError(Exception):
    """Carry every finding of a document that was refused."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings

"""Stand-ins: small fakes of the outside systems that the product talks to.

`engine`, `plain`, `platform`, `ranks` and `relay` run as processes of their own, which
`fleet` starts together with the product's. `deployment_server` and `deployment_store`
run in the process of the test, which can then change their faults directly.
"""

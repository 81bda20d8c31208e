"""A platform on loopback to test front doors in: backends, discovery, counter service, load, faults, audit.

Nothing here imports the front door. Each service records what it observed in a request log (`request_log`);
`audit` judges the five rules by these logs alone, and `service_report` computes the service that the tenants
received.
"""

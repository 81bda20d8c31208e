"""A loopback platform for testing front doors: backends, discovery, counter service, load, faults and audit.

Nothing here imports the front door. Each service records what it observes in a request log (`request_log`);
`audit` checks the five rules against these logs alone, and `service_report` computes the service that the
tenants received.
"""

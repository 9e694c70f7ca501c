"""Stand-ins by the published protocol: state service, cloud, workers; and a checker of its rules.

The models (`store`, `cloud`, `worker`, `truth`) know no network and no clock: time is handed to
them. Over TCP they make the lab; in virtual time they serve the simulator and the tests.
"""

"""Roll-outs of model versions and of service releases.

Versions of a model are rolled out by controllers, by the ratings that routers sample:
`Rollout`, `Step` and `Verdict`, and the modules that use these. Releases of a service
are rolled out by every instance, by the answers that it relays: `ReleaseOrder` and
`ReleaseStatus`, the modules `release*` and `latency_classifiers`.
"""

"""The platform and the upstreams over HTTP, as the stand-ins speak it."""

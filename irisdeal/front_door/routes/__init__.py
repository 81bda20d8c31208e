"""Routes and request costs of an OpenAPI description: tables, matcher, costs and comparison, without I/O."""

"""Routes and costs, as an OpenAPI description tells them: table, matcher, costs, differences. Pure, no
I/O."""

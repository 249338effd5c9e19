"""Carries requests from submitters to execute nodes as the decision module says. Knows no HTTP."""

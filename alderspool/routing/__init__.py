"""Carries requests from clients to endpoints as the decision module says. Knows no HTTP."""

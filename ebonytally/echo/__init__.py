"""Flows whose packets carry a cookie that names their upstream."""

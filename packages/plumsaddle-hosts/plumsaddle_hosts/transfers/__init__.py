"""Large responses on their way from targets to callers."""

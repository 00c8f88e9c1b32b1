"""
What hosts learn about targets when requests are scheduled, and how they use it.
"""

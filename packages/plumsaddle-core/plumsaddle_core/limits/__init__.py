"""
How much may be sent: rate limits that hold over all hosts together.
"""

"""Adapter between the users' platform and acacialine.

Only this package knows the names that the platform uses on the wire. It
decodes what arrives into types of acacialine and encodes requests, and takes
no scheduling decisions.
"""

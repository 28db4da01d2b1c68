"""Translates between the users' platform and acacialine.

Nothing outside this folder knows the platform's names. Nothing inside it
decides: it decodes what comes into the product's types and encodes orders.
"""

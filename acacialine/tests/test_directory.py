"""Tests of the records by which dispatchers find each other."""

import unittest

from acacialine import directory

NONCE = "a" * 16
ID = f"10.0.0.1-7101-{NONCE}"
OTHER_ID = "10.0.0.1-7101-" + "b" * 16


def new_record(dispatcher_id=ID, address="10.0.0.1:7101", claim=0):
    return directory.EntryRecord(
        dispatcher_id, "entry-1", "zone-a", address, 1.0, claim
    )


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory.Directory()

    def apply(self, record, now=0.0):
        self.directory.apply(record.id, directory.encode(record), now)

    def test_a_record_replaces_those_with_the_same_address(self):
        self.apply(new_record(ID))
        self.apply(new_record(OTHER_ID))
        self.assertEqual(list(self.directory.records), [OTHER_ID])

    def test_records_that_are_not_renewed_expire(self):
        self.apply(new_record(), 1.0)
        self.assertEqual(self.directory.expired_keys(20.0, 20.0), [])
        self.assertEqual(len(self.directory.expired_keys(20.0, 21.5)), 1)

    def test_a_record_without_a_weight_can_be_read(self):
        data = directory.encode(new_record()).replace(b',"weight":1.0', b"")
        self.directory.apply(ID, data, 0.0)
        (found,) = self.directory.records.values()
        self.assertEqual(found.weight, 1.0)

    def test_a_malformed_record_raises(self):
        with self.assertRaises(ValueError):
            self.directory.apply("x", b"{", 0.0)

    def test_a_record_with_an_unusable_address_raises(self):
        # Guards against an address that ends the task of all links.
        for dispatcher_id, address in (
            (ID, "10.0.0.1:many"),
            (ID, "10.0.0.1"),
            (ID, "10.0.0.2:7101"),
            ("10.0.0.1-7101", "10.0.0.1:7101"),
            (f"10.0.0.1-99999-{NONCE}", "10.0.0.1:99999"),
            (f"entry one-7101-{NONCE}", "entry one:7101"),
            (f"-7101-{NONCE}", ":7101"),
        ):
            with self.assertRaises(ValueError, msg=address):
                self.apply(new_record(dispatcher_id, address))
        data = directory.encode(new_record())
        with self.assertRaises(ValueError):
            self.directory.apply(OTHER_ID, data, 0.0)
        self.assertEqual(self.directory.records, {})

    def test_many_dispatchers_renew_less_often(self):
        self.assertEqual(directory.renewal_interval_s(1.5, 7), 1.5)
        self.assertAlmostEqual(directory.renewal_interval_s(1.5, 43), 5.375)


if __name__ == "__main__":
    unittest.main()

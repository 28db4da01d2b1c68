"""Tests of topology: candidates and links in small and large zones."""

import unittest

from acacialine import topology


def new_neighbour(number, weight=1.0, is_unreachable=False):
    return topology.Neighbour(
        f"e{number}",
        ("10.0.0.1", number),
        weight,
        float(number),
        is_unreachable,
    )


def choose(number, others, weight=1.0):
    local_rank = topology.rank(weight, float(number), f"e{number}")
    return topology.choose(local_rank, others)


class TopologyTest(unittest.TestCase):
    def ports(self, links):
        return sorted(port for _, port in links.addresses)

    def test_in_a_small_zone_all_are_candidates(self):
        links = choose(4, [new_neighbour(n) for n in (1, 2, 3)])
        self.assertTrue(links.is_candidate)
        self.assertEqual(self.ports(links), [1, 2, 3])

    def test_in_a_large_zone_most_link_to_the_candidates_only(self):
        links = choose(9, [new_neighbour(n) for n in range(1, 15) if n != 9])
        self.assertFalse(links.is_candidate)
        self.assertEqual(self.ports(links), [1, 2, 3, 4])

    def test_candidates_link_to_each_other(self):
        links = choose(2, [new_neighbour(n) for n in range(1, 15) if n != 2])
        self.assertTrue(links.is_candidate)
        self.assertEqual(self.ports(links), [1, 3, 4])

    def test_the_highest_weights_are_candidates(self):
        others = [new_neighbour(n) for n in range(1, 8)]
        others.append(new_neighbour(9, weight=2.0))
        self.assertIn(9, self.ports(choose(8, others)))
        self.assertTrue(choose(8, others, weight=3.0).is_candidate)

    def test_unreachable_candidates_are_replaced_and_still_dialled(self):
        others = [
            new_neighbour(n, is_unreachable=n in (1, 2)) for n in range(1, 9)
        ]
        links = choose(9, others)
        self.assertEqual(self.ports(links), [1, 2, 3, 4, 5, 6])
        self.assertFalse(links.is_candidate)

    def test_with_most_unreachable_all_are_candidates(self):
        others = [new_neighbour(n, is_unreachable=n > 2) for n in range(1, 9)]
        links = choose(9, others)
        self.assertTrue(links.is_candidate)
        self.assertEqual(len(links.addresses), 8)


if __name__ == "__main__":
    unittest.main()

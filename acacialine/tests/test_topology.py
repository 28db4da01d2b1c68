"""Links within a zone: few for most entries, whatever is down."""

import unittest

from acacialine import topology


def neighbour(number, weight=1.0, is_down=False):
    return topology.Neighbour(
        f"e{number}", ("10.0.0.1", number), weight, float(number), is_down
    )


def choose(number, others, weight=1.0):
    own = topology.rank(weight, float(number), f"e{number}")
    return topology.choose(own, others)


class TopologyTest(unittest.TestCase):
    def ports(self, chosen):
        return sorted(port for _, port in chosen.addresses)

    def test_in_a_small_zone_everybody_is_a_candidate(self):
        chosen = choose(4, [neighbour(n) for n in (1, 2, 3)])
        self.assertTrue(chosen.is_candidate)
        self.assertEqual(self.ports(chosen), [1, 2, 3])

    def test_in_a_large_zone_most_talk_to_the_candidates_only(self):
        chosen = choose(9, [neighbour(n) for n in range(1, 15) if n != 9])
        self.assertFalse(chosen.is_candidate)
        self.assertEqual(self.ports(chosen), [1, 2, 3, 4])

    def test_candidates_talk_to_each_other(self):
        chosen = choose(2, [neighbour(n) for n in range(1, 15) if n != 2])
        self.assertTrue(chosen.is_candidate)
        self.assertEqual(self.ports(chosen), [1, 3, 4])

    def test_the_strongest_are_candidates(self):
        others = [neighbour(n) for n in range(1, 8)]
        others.append(neighbour(9, weight=2.0))
        self.assertIn(9, self.ports(choose(8, others)))
        self.assertTrue(choose(8, others, weight=3.0).is_candidate)

    def test_whoever_is_down_is_replaced_and_still_dialled(self):
        others = [neighbour(n, is_down=n in (1, 2)) for n in range(1, 9)]
        chosen = choose(9, others)
        self.assertEqual(self.ports(chosen), [1, 2, 3, 4, 5, 6])
        self.assertFalse(chosen.is_candidate)

    def test_with_most_down_everybody_is_a_candidate(self):
        others = [neighbour(n, is_down=n > 2) for n in range(1, 9)]
        chosen = choose(9, others)
        self.assertTrue(chosen.is_candidate)
        self.assertEqual(len(chosen.addresses), 8)


if __name__ == "__main__":
    unittest.main()

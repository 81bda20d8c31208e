Feature: placement of attempts by a registry, for all proxies of its zone

  Scenario Outline: no backend is filled while another is free
    Given <proxies> proxies in 4 zones with a registry each, 37 backends of 2 slots, 57 percent utilization, seed <seed>
    When proxies request placements from their registry for 20 s
    Then under <queued> percent of the requests are queued at their backend
    And no registry has a reservation left when all have ended

    Examples:
      | proxies | seed | queued |
      | 8       | 1    | 3      |
      | 85      | 2    | 3      |

  Scenario: proxies that see only their own requests
    Given 85 proxies in 4 zones with a registry each, 37 backends of 2 slots, 57 percent utilization, seed 3
    When proxies choose by themselves for 20 s
    Then over 20 percent of the requests are queued at their backend

  Scenario: a proxy dies with its reservations
    Given 8 proxies in 4 zones with a registry each, 37 backends of 2 slots, 57 percent utilization, seed 4
    When proxies request placements from their registry for 5 s
    And a proxy that has 9 reservations loses its connection
    Then no registry has a reservation of that proxy

  Scenario: failures reported by a proxy whose attempts all fail are ignored
    Given 8 proxies in 4 zones with a registry each, 37 backends of 2 slots, 57 percent utilization, seed 5
    When one proxy reports that 60 attempts failed
    Then at most 5 backends are ejected for it

  Scenario: a backend with a gray failure receives fewer requests
    Given 8 proxies in 4 zones with a registry each, 37 backends of 2 slots, 20 percent utilization, seed 6
    When a backend answers every second request with 500 for 20 s
    Then it receives under a third of the requests of the others of its zone in the last 10 s

  Scenario: waiting requests are dequeued by rank
    Given a registry with 3 waiting requests of rank 2, one of rank 1, and a cancelled one of rank 0
    Then the one of rank 1 is dequeued first and the cancelled one never

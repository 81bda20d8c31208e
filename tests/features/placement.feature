Feature: placement of attempts by a registry, for all proxies of its zone

  Scenario Outline: no backend is filled while another is free
    Given <proxies> proxies in 4 zones with a registry each, 37 backends of 2 slots, 57 percent of them asked for, seed <seed>
    When proxies ask their registry for placements for 20 s
    Then under <queued> percent of the requests find a queue at their backend
    And no registry has a reservation left when all have ended

    Examples:
      | proxies | seed | queued |
      | 8       | 1    | 3      |
      | 85      | 2    | 3      |

  Scenario: proxies that see only their own requests
    Given 85 proxies in 4 zones with a registry each, 37 backends of 2 slots, 57 percent of them asked for, seed 3
    When proxies choose by themselves for 20 s
    Then over 20 percent of the requests find a queue at their backend

  Scenario: a proxy dies with its reservations
    Given 8 proxies in 4 zones with a registry each, 37 backends of 2 slots, 57 percent of them asked for, seed 4
    When proxies ask their registry for placements for 5 s
    And a proxy that has 9 reservations loses its connection
    Then no registry has a reservation of that proxy

  Scenario: a proxy whose attempts all fail is not believed
    Given 8 proxies in 4 zones with a registry each, 37 backends of 2 slots, 57 percent of them asked for, seed 5
    When one proxy reports that 60 attempts failed
    Then at most 5 backends are ejected for it

  Scenario: a grey backend gets less
    Given 8 proxies in 4 zones with a registry each, 37 backends of 2 slots, 20 percent of them asked for, seed 6
    When a backend answers every second request with 500 for 20 s
    Then it got under a third of what the others of its zone got in the last 10 s

  Scenario: who waits goes by rank
    Given a registry at which 3 of rank 2 and 1 of rank 1 wait for capacity, and one of rank 0 that gave up
    Then the one of rank 1 goes first and the one that gave up never

Feature: the store agrees on one configuration despite failures

  Scenario Outline: kills, losses of power and disks, partitions, freezes, replacements, and a final fault
    Given a store with the planted bug: nothing
    When the simulated days of seeds <first> to <last> run
    Then no violation is found, and <percent> percent of the puts were acknowledged

    Examples:
      | first | last | percent |
      | 1     | 6    | 85      |
      | 7     | 7    | 85      |

  Scenario: two bodies under one number, put to two members at once
    Given a store with the planted bug: nothing
    When two bodies are put under one number at once, 40 times
    Then both were confirmed in 0 of them, and one in each

  Scenario: a body put under a number that is already decided
    Given a store with the planted bug: nothing
    When a body of larger digest is put 1 s after the other's confirmation, 20 times
    Then it replaced the other in 0 of them

  Scenario Outline: members replaced by machines at new addresses
    Given a store with the planted bug: nothing
    When 10 members of <count> are replaced, 6 s apart
    Then a put and a read succeed after each replacement

    Examples:
      | count |
      | 3     |
      | 4     |
      | 5     |

  Scenario Outline: planted bugs are detected
    Given a store with the planted bug: <bug>
    When <scenario> of seed <seed> runs
    Then a violation is found, and none without the bug

    Examples:
      | bug                          | scenario     | seed |
      | accept not synced            | day: any     | 1    |
      | learner counted              | duels: wipe  | 7    |
      | lease from the answer        | day: one way | 22   |
      | value applied before decided | duels: none  | 13   |
      | a repeated put refused       | day: any     | 1    |
      | read without a quorum        | day: any     | 1    |
      | confirmed without a quorum   | day: any     | 1    |

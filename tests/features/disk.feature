Feature: what an acceptor answered survives a loss of power

  Scenario Outline: power is lost at every disk operation of a prepare, a stored version and an accept
    Given an acceptor on a disk that has accepted <count> versions
    When power is lost at every disk operation of one more
    Then over <least> disks were opened and none has lost what was answered

    Examples:
      | count | least |
      | 1     | 30    |
      | 2     | 30    |
      | 7     | 30    |

  Scenario Outline: a process that is killed in a disk operation, and power that is lost after its next start
    Given an acceptor on a disk that has accepted <count> versions
    When it is killed at every disk operation of one more, starts again and then loses power
    Then over 12 disks were opened and none has lost what was answered

    Examples:
      | count |
      | 0     |
      | 2     |

  Scenario: power is lost at every disk operation of the first start
    Given an empty disk
    When power is lost at every disk operation of the first start
    Then over 4 disks were opened and none reports an identity that was reported before

  Scenario: a byte of the acceptor's file that was flipped
    Given an acceptor on a disk that has accepted 3 versions
    When a byte of its file is flipped, wherever it is
    Then its disk counts as lost and has another identity

  Scenario: a byte of a version's file that was flipped
    Given an acceptor on a disk that has accepted 3 versions
    When a byte of the newest version's file is flipped, wherever it is
    Then that version is missing and the ones before it are there

  Scenario: a full disk
    Given an acceptor on a disk that has accepted 3 versions
    When the disk is full
    Then a prepare and a version are refused and nothing is lost

  Scenario: growth is bounded
    Given an acceptor on a disk that has accepted 40 versions
    Then at most 6 files are on it

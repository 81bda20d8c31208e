Feature: the replies of an acceptor survive a power loss

  Scenario Outline: power is lost at every disk operation of a prepare, a stored version and an accept
    Given an acceptor on a disk that has accepted <count> versions
    When power is lost at every disk operation of accepting one more version
    Then over <least> disks were opened and none has lost a state that it had reported

    Examples:
      | count | least |
      | 1     | 30    |
      | 2     | 30    |
      | 7     | 30    |

  Scenario Outline: a process is killed in a disk operation, and power is lost after its next start
    Given an acceptor on a disk that has accepted <count> versions
    When it is killed at every disk operation of accepting one more version, restarts and then loses power
    Then over 12 disks were opened and none has lost a state that it had reported

    Examples:
      | count |
      | 0     |
      | 2     |

  Scenario: power is lost at every disk operation of the first start
    Given an empty disk
    When power is lost at every disk operation of the first start
    Then over 4 disks were opened and none reports an identity that was reported before

  Scenario: a flipped byte in the acceptor's file
    Given an acceptor on a disk that has accepted 3 versions
    When a byte of its file is flipped at any position
    Then its disk counts as lost and has another identity

  Scenario: a flipped byte in a version's file
    Given an acceptor on a disk that has accepted 3 versions
    When a byte of the newest version's file is flipped at any position
    Then that version is missing and the older ones are available

  Scenario: a full disk
    Given an acceptor on a disk that has accepted 3 versions
    When the disk is full
    Then a prepare and a version are rejected and nothing is lost

  Scenario: the number of files is bounded
    Given an acceptor on a disk that has accepted 40 versions
    Then at most 6 files are on it

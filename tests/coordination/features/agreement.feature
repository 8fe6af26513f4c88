Feature: Agreed configuration
  Operators submit documents to any member.

  Scenario: Two operators race with equal revisions
    Given members a, b and c with 2 accepted revisions
    When operators submit "one" to a and "two" to b at the same time on revision 2
    Then exactly one is accepted as revision 3
    And the other is shown revision 3 with its document

  Scenario: A resend after a lost answer
    Given members a, b and c with 2 accepted revisions
    When the answer to "mine" on revision 2 is lost
    And other operators have 3 more documents accepted
    And "mine" on revision 2 is sent again to c
    Then it is accepted as revision 3
    And "mine" is in the history once

  Scenario: A resend of a conflicted request
    Given members a, b and c with 2 accepted revisions
    When "late" on revision 1 is sent to a
    And all members restart
    And other operators have 1 more documents accepted
    And "late" on revision 1 is sent again to b
    Then both answers show revision 2 with its document

  Scenario: The leader is lost
    Given members a, b and c with 2 accepted revisions
    When the leader is lost
    Then the other members accept a document on revision 2
    And they show all revisions in order

  Scenario: A disk is lost and a second one right after the repair
    Given members a, b and c with 2 accepted revisions
    When a follower loses its disk
    And an operator replaces it
    And another member that had the documents loses its disk
    Then the other members accept a document on revision 2
    And they show all revisions in order

  Scenario: A replacement under a new name takes part
    Given members a, b and c with 2 accepted revisions
    When the leader is replaced by d
    Then d is a voter and the old leader is no member
    And the other members accept a document on revision 2

  Scenario: A member comes back after a long partition
    Given members a, b and c with 2 accepted revisions
    When a follower is cut off while 400 documents are accepted
    And the partition heals
    Then the follower shows the newest revision and the last 100
    And no election was held

Feature: Agreed configuration
  Operators submit documents to any of the members a, b and c.

  Background:
    Given members with 2 accepted revisions

  Scenario: Two operators submit documents on the same revision
    When operators submit "one" to a and "two" to b on revision 2 at once
    Then one is accepted as revision 3 and the other is shown it

  Scenario: A request is repeated after its answer was lost
    When the answer to "mine" on revision 2 is lost
    And others have 3 more documents accepted
    Then a resend of "mine" on revision 2 gets revision 3
    And "mine" is in every history once

  Scenario: The leader is lost
    When the leader is lost
    Then the others accept a document and show all revisions in order

  Scenario: A disk is lost, and another one after its replacement
    When a follower loses its disk
    And an operator replaces it
    And another member loses its disk
    Then the others accept a document and show all revisions in order

  Scenario: A member rejoins after a long partition
    When a follower is cut off while 400 documents are accepted
    And the partition heals
    Then the follower shows the newest revision and the last 100
    And no election was held

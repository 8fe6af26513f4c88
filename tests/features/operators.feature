Feature: Operators change the configuration

  Scenario: Two operators race with the same revision
    Given a document that stands as revision 1
    When two operators apply different documents based on revision 1
    Then one is told "done" and the other "conflict"
    And the loser is shown revision 2 with the winner's document
    And 2 revisions are in the history

  Scenario: A document with three faults
    Given a document that stands as revision 1
    When an operator applies a document with a bad port, a duplicate name and no kind
    Then the operator is told "invalid"
    And the faults are at services[0].port, services[1].name, services[1].kind
    And 1 revisions are in the history

  Scenario: A resend after a lost answer
    Given a document that stands as revision 1
    When an operator applies a document and the answer gets lost
    Then the operator is told "unknown"
    And is advised to resend with the request identifier
    When the operator resends with the same request identifier
    Then the operator is told "done"
    And 2 revisions are in the history

  Scenario: A data centre is taken out and brought back
    Given a document that stands as revision 1
    When an operator runs take-out dc-2
    Then the operator is told "done"
    And data centre dc-2 is out of service
    When an operator runs take-out dc-2
    Then the operator is told "done"
    And 2 revisions are in the history
    When an operator runs bring-back dc-2
    Then the operator is told "done"
    And data centre dc-2 is in service

  Scenario: A conflict about something else doesn't stop a take-out
    Given a document that stands as revision 1
    When data centre dc-1 changes while an operator takes dc-2 out
    Then the operator is told "done"
    And data centre dc-2 is out of service
    And data centre dc-1 is out of service

  Scenario: A conflict about the same data centre is reported
    Given a document that stands as revision 1
    When data centre dc-2 changes while an operator takes dc-2 out
    Then the operator is told "conflict"
    And 2 revisions are in the history

  Scenario: The last data centre can't be taken out
    Given a document that stands as revision 1
    When an operator runs take-out dc-1
    And an operator runs take-out dc-2
    And an operator runs take-out dc-3
    Then the operator is told "invalid"
    And data centre dc-3 is in service

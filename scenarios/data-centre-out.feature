Feature: A data centre is taken out and brought back

  Scenario: Llenni Tywyll takes north out and brings it back
    Given the customer llenni-tywyll with seed 1
    And 200 open flows
    And requests at 40 percent load
    When at 5 s data centre north is taken out
    Then within 2 s the configuration is in force everywhere
    And within 3 s no packet reaches north
    And every open flow is still served
    When at 20 s data centre north is brought back
    Then within 2 s the configuration is in force everywhere
    When 10 s pass
    Then no promise is broken
    And every open flow is still served

  Scenario: A cut-off data centre gets nothing after it was taken out
    Given the customer asistenta-juridica with seed 2
    And 200 open flows
    When at 3 s data centre titan is cut off
    And at 8 s data centre titan is taken out
    Then within 3 s no packet reaches titan

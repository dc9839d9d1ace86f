Feature: What fails

  Scenario: Entry VMs die and join while upstreams drain, updates are uneven
    Given the customer llenni-tywyll with seed 21
    And 200 open flows
    When at 2 s messages are delayed by up to 400 ms
    And at 3 s upstream cutting-desk-1 drains
    And at 3 s VM west-1 is lost
    And at 7 s VM west-1 starts
    And at 8 s upstream cutting-desk-2 drains
    And at 9 s VM south-1 is lost
    And at 14 s messages are delayed by up to 0 ms
    And at 14 s VM south-1 starts
    Then within 5 s every VM that runs has a lease
    And every open flow is still served

  Scenario: A second VM is lost right after a repair
    Given the customer asistenta-juridica with seed 22
    And 200 open flows
    When at 2 s upstream eligibility-1 drains
    And at 5 s VM berceni-1 is lost
    And at 12 s VM berceni-1 starts
    And at 16 s VM pipera-2 is lost
    And 6 s pass
    Then every open flow is still served
    And within 1 s every VM that runs has a lease

  Scenario: A control VM sits silently behind a partition for a long time
    Given the customer llenni-tywyll with seed 23
    When at 2 s data centre east is cut off
    And at 6 s 40 changes are confirmed
    Then VM east-1 says that it is cut off
    When 60 s pass
    And the network heals
    Then within 5 s every VM that runs has a lease
    And within 100 s the configuration is in force everywhere
    And no promise is broken

  Scenario: Operators race with equal numbers and resend intents
    Given the customer asistenta-juridica with seed 24
    And 50 open flows
    When at 2 s an operator plans to take data centre berceni out
    And the intent is resent at every VM
    And two operators confirm that plan at once with equal numbers
    Then one of them is told that it is in force and one is refused
    And within 2 s the configuration is in force everywhere
    And within 3 s no packet reaches berceni

  Scenario: A process restarts after hundreds of changes have passed it by
    Given the customer llenni-tywyll with seed 25
    When at 2 s VM west-1 is lost
    And at 3 s VM south-1 is lost
    And at 6 s 300 changes are confirmed
    And VM west-1 starts
    And VM south-1 starts
    Then within 5 s every VM that runs has a lease
    And within 1000 s the configuration is in force everywhere
    And no promise is broken

  Scenario: Open connections go silent while new ones work
    Given the customer asistenta-juridica with seed 26
    And requests at 30 percent load
    When at 20 s open connections from VM pipera-1 to eligibility go silent
    Then in the next 10 s at least 90 percent are answered
    And no promise is broken

  Scenario: Data centres are cut off from each other and heal
    Given the customer llenni-tywyll with seed 27
    And 100 open flows
    And requests at 20 percent load
    When at 20 s data centre north is cut off
    And at 30 s the network heals
    Then within 5 s every VM that runs has a lease
    And every open flow is still served
    And in the next 5 s at least 95 percent are answered

  Scenario: A partial and one-way partition does not make it flap
    Given the customer asistenta-juridica with seed 28
    And 100 open flows
    When at 3 s messages from titan to pipera are lost
    And at 6 s data centres militari and berceni are cut from each other
    And at 12 s the network heals
    Then within 5 s every VM that runs has a lease
    And every open flow is still served

  Scenario: One slow VM and a frozen one
    Given the customer llenni-tywyll with seed 29
    And 100 open flows
    When at 3 s VM north-2 is slow by 300 ms
    And at 5 s VM south-1 freezes for 6 s
    And at 15 s VM north-2 is slow by 0 ms
    Then within 5 s every VM that runs has a lease
    And every open flow is still served

  Scenario: A disk fills up, another ends in a torn record
    Given the customer asistenta-juridica with seed 30
    When at 2 s the disk of VM titan-1 is full
    And at 3 s service documents may queue 32 requests
    Then within 3 s the configuration is in force everywhere
    When at 8 s the disk of VM titan-1 has room
    And at 10 s VM militari-1 is lost
    And the log of VM militari-1 ends in a torn record
    And VM militari-1 starts
    And 5 s pass
    And service documents may queue 64 requests
    Then within 2 s the configuration is in force everywhere
    And no promise is broken

  Scenario: A control VM comes back with an empty disk
    Given the customer llenni-tywyll with seed 31
    When at 2 s 20 changes are confirmed
    And VM south-1 loses its disk
    And 2 s pass
    And VM south-1 starts
    And VM east-1 is lost
    And 3 s pass
    Then VM south-1 refuses to start or knows that its disk is empty
    And no promise is broken

  Scenario: Messages are lost, doubled and reordered
    Given the customer asistenta-juridica with seed 32
    And 100 open flows
    And requests at 20 percent load
    When at 15 s 10 percent of messages are dropped
    And at 15 s 10 percent of messages are duplicated
    And at 15 s messages are delayed by up to 30 ms
    And at 18 s service documents may queue 32 requests
    Then within 3 s the configuration is in force everywhere
    When at 25 s 0 percent of messages are dropped
    And at 26 s data centre berceni is taken out
    Then within 3 s no packet reaches berceni
    And every open flow is still served

  Scenario: A whole data centre is lost at night
    Given the customer asistenta-juridica with seed 33
    And 100 open flows
    And requests at 30 percent load
    When at 20 s data centre titan is lost
    And 6 s pass
    Then 60 more flows open and are served
    And every open flow is still served
    And in the next 5 s at least 97 percent are answered

  Scenario: A VM that is cut off can be stopped
    Given the customer llenni-tywyll with seed 34
    And 50 open flows
    When at 3 s data centre west is cut off
    And at 8 s VM west-1 stops
    And at 22 s the network heals
    And at 22 s VM west-1 starts
    Then within 5 s every VM that runs has a lease
    And every open flow is still served
